"""Which peers a node gossips with, regardless of zones and with its own preferred."""

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.bundle.document import parse_bundle
from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.bundle.order import NO_BUNDLE
from jacinthshed.internal.membership.gossip import Gossiper
from jacinthshed.internal.membership.overlay import choose_neighbours
from jacinthshed.internal.membership.peers import (
    ANY_MEMBER_INTERVAL_ROUNDS,
    PeerSelector,
)
from jacinthshed.internal.membership.view import View
from jacinthshed.internal.routing.rendezvous import score
from tests.common.bundles import bundle_document
from tests.common.members import member
from tests.common.reachability import (
    FLEETS,
    Faults,
    components,
    draw_faults,
    overlay_links,
    physical_links,
    zoned_fleet,
)

FOUR_NEIGHBOURS = 4


def selector(records, own, *, prefers_own_zone, linked=(), down=(), seed=0):
    """Return the peer selection of host ``own`` and its random generator."""
    view = View(self_record=records[own])
    view.merge(0.0, records.values())
    random = Random(seed)
    peers = PeerSelector(
        view=view,
        random=random,
        linked=lambda: linked,
        is_reachable=lambda host: host not in down,
    )
    peers.set_prefers_own_zone(prefers_own_zone)
    return peers, random


class EarlierSelection:
    """The choice of peers before zones were preferred, as it stood in 0.3.0."""

    def __init__(self, view, random, linked, down):
        self.view, self.random = view, random
        self.linked, self.down = linked, down
        self.round = 0

    def neighbours(self):
        own = self.view.self_record.host
        others = [
            host for host in self.view.hosts() if host != own and host not in self.down
        ]
        return tuple(sorted(others, key=lambda other: score(own, other))[:4])

    def next_peer(self):
        self.round += 1
        if self.round % 4:
            sampled = self.sample_peers(1)
            if sampled:
                return sampled[0]
        hosts = self.view.hosts()
        index = self.random.randrange(max(1, len(hosts)))
        return hosts[index] if index < len(hosts) else None

    def sample_peers(self, count, exclude=""):
        candidates = set(self.neighbours())
        candidates.update(host for host in self.linked if host not in self.down)
        candidates -= {exclude, self.view.self_record.host}
        return self.random.sample(sorted(candidates), min(count, len(candidates)))


@given(
    sizes=st.lists(st.integers(1, 6), min_size=1, max_size=4),
    data=st.data(),
    seed=st.integers(0, 1_000),
)
def test_without_the_preference_peers_and_random_numbers_are_as_before(
    sizes, data, seed
):
    """Guards against another choice of peers where the policy doesn't set the field."""
    records = zoned_fleet(sizes, "host")
    hosts = sorted(records)
    some = st.lists(st.sampled_from(hosts), max_size=6)
    own, linked, down = data.draw(st.sampled_from(hosts)), data.draw(some), set()
    down.update(data.draw(some))
    peers, random = selector(
        records, own, prefers_own_zone=False, linked=linked, down=down, seed=seed
    )
    view = View(self_record=records[own])
    view.merge(0.0, records.values())
    earlier = EarlierSelection(view, Random(seed), linked, down)
    for step in range(12):
        if step % 3 == 1:
            exclude = data.draw(st.sampled_from(["", *hosts]))
            found = peers.sample_peers(step, exclude)
            assert found == earlier.sample_peers(step, exclude)
        else:
            assert peers.next_peer() == earlier.next_peer()
        assert peers.neighbours() == earlier.neighbours()
        assert random.getstate() == earlier.random.getstate()


@settings(max_examples=1_000)
@given(fleet=FLEETS, data=st.data())
def test_the_overlay_connects_all_nodes_that_can_reach_each_other(fleet, data):
    """Guards against zones, or parts of one, that no neighbour connects.

    Hosts and whole zones are lost, and nodes of a zone can't reach each other; the
    overlay must have the same parts as the network.
    """
    records = zoned_fleet(*fleet)
    faults = draw_faults(data, records)
    network = physical_links(records, faults)
    overlay = overlay_links(records, network, prefers_own_zone=True)
    assert overlay <= network
    assert components(faults.up, overlay) == components(faults.up, network)


@settings(max_examples=300)
@given(fleet=FLEETS, data=st.data())
def test_a_node_that_alone_takes_a_zone_for_lost_stays_connected(fleet, data):
    """Guards against a node that is cut off by its own wrong belief about a zone."""
    records = zoned_fleet(*fleet)
    network = physical_links(records, Faults(frozenset(records), frozenset()))
    mistaken = data.draw(st.sampled_from(sorted(records)))
    zones = sorted({record.availability_zone for record in records.values()})
    lost_zone = data.draw(st.sampled_from(zones))

    def believes_reachable(host, other):
        return host != mistaken or records[other].availability_zone != lost_zone

    overlay = overlay_links(
        records, network, prefers_own_zone=True, believes_reachable=believes_reachable
    )
    assert components(records, overlay) == components(records, network)


@given(fleet=FLEETS, data=st.data())
def test_three_neighbours_are_in_the_own_zone_where_there_are_enough(fleet, data):
    """Guards against neighbours in other zones that aren't needed, and missing ones."""
    records = zoned_fleet(*fleet)
    own = data.draw(st.sampled_from(sorted(records)))
    down = set(data.draw(st.lists(st.sampled_from(sorted(records)))))
    zone = records[own].availability_zone
    peers, _ = selector(records, own, prefers_own_zone=True, down=down)
    reachable = [r for h, r in records.items() if h not in down and h != own]
    inside = sum(r.availability_zone == zone for r in reachable)
    outside = len(reachable) - inside
    chosen = [records[host] for host in peers.neighbours()]
    assert len(set(chosen)) == len(chosen) == min(FOUR_NEIGHBOURS, len(reachable))
    chosen_outside = sum(r.availability_zone != zone for r in chosen)
    assert chosen_outside == min(outside, max(1, FOUR_NEIGHBOURS - inside))


@given(fleet=FLEETS, data=st.data())
def test_a_leaving_host_changes_few_neighbours(fleet, data):
    """Guards against links that are all opened anew when one host leaves."""
    records = zoned_fleet(*fleet)
    own, leaving = (data.draw(st.sampled_from(sorted(records))) for _ in range(2))

    def neighbours(hosts):
        zone = records[own].availability_zone
        return choose_neighbours(
            own,
            hosts,
            lambda _: True,
            is_in_own_zone=lambda host: records[host].availability_zone == zone,
        )

    before = neighbours(records)
    after = neighbours([host for host in records if host != leaving])
    changed = {*before} ^ {*after}
    assert len(changed) <= (2 if leaving in before else 0)


def test_rounds_stay_in_the_own_zone_except_every_fourth():
    """Guards against rounds that leave the zone, and against ones that never do."""
    records = zoned_fleet([12, 12, 12], "host")
    own = sorted(records)[0]
    zone = records[own].availability_zone
    peers, _ = selector(records, own, prefers_own_zone=True, linked=sorted(records))
    found = [records[peers.next_peer()].availability_zone for _ in range(400)]
    elsewhere = [number for number, other in enumerate(found, 1) if other != zone]
    assert all(number % ANY_MEMBER_INTERVAL_ROUNDS == 0 for number in elsewhere)
    # Two thirds of a hundred rounds with any member.
    assert 50 <= len(elsewhere) <= 85


@pytest.mark.parametrize("sizes", [[1, 12], [3, 12]])
def test_rounds_go_to_other_zones_when_the_own_zone_has_no_reachable_host(sizes):
    """Guards against a node without peers when its own zone is lost."""
    records = zoned_fleet(sizes, "host")
    own = sorted(records)[0]
    zone = records[own].availability_zone
    down = {host for host, r in records.items() if r.availability_zone == zone}
    peers, _ = selector(records, own, prefers_own_zone=True, down=down - {own})
    found = [peers.next_peer() for _ in range(40)]
    assert len({host for host in found if host not in down}) > 2
    rounds = enumerate(found, 1)
    assert all(host not in down for number, host in rounds if number % 4)


def test_a_change_is_forwarded_to_the_neighbour_in_another_zone():
    """Guards against changes that stay in one zone until a round with any member."""
    records = zoned_fleet([5, 5, 5], "host")
    own = sorted(records)[0]
    peers, _ = selector(records, own, prefers_own_zone=True, linked=sorted(records))
    forwarded = set(peers.sample_peers(FOUR_NEIGHBOURS + 1))
    outside = [
        host
        for host in forwarded
        if records[host].availability_zone != records[own].availability_zone
    ]
    assert outside == [peers.neighbours()[-1]]


def test_a_new_policy_changes_the_neighbours_at_once():
    """Guards against a policy whose neighbours apply only after the view changes."""
    records = zoned_fleet([10, 10, 10], "host")
    own = sorted(records)[0]
    view = View(self_record=records[own])
    view.merge(0.0, records.values())
    gossiper = Gossiper(
        view=view,
        policy=MembershipPolicy(),
        random=Random(0),
        bundle_order=lambda: NO_BUNDLE,
    )

    def outside():
        zones = [records[host].availability_zone for host in gossiper.neighbours()]
        return sum(zone != records[own].availability_zone for zone in zones)

    before = gossiper.neighbours()
    assert outside() > 1
    gossiper.set_policy(MembershipPolicy(neighbours="own-zone"))
    assert outside() == 1
    gossiper.set_policy(MembershipPolicy(neighbours="any"))
    assert gossiper.neighbours() == before


def test_the_bundle_takes_the_two_kinds_of_neighbours_only():
    """Guards against a misspelt kind that silently stands for the default."""
    for kind in ("any", "own-zone"):
        document = bundle_document({"membership.neighbours": kind})
        bundle = parse_bundle(document, source="b.yaml").unwrap()
        assert bundle.membership.neighbours == kind
    assert MembershipPolicy().neighbours == "any"
    document = bundle_document({"membership.neighbours": "own_zone"})
    assert str(parse_bundle(document, source="b.yaml").failure()) == (
        "b.yaml: membership.neighbours: expected one of any, own-zone, found 'own_zone'"
    )


def test_a_host_without_a_zone_counts_as_elsewhere():
    """Guards against a record without a zone, known from a notice, as a neighbour."""
    records = zoned_fleet([4, 4], "host")
    own = sorted(records)[0]
    records["unknown"] = member("unknown", state="leaving", availability_zone="")
    peers, _ = selector(records, own, prefers_own_zone=True)
    inside = [records[host].availability_zone for host in peers.neighbours()[:3]]
    assert inside == [records[own].availability_zone] * 3
