"""Subsets of targets are bounded, balanced and stable when a host leaves."""

from collections import Counter

from hypothesis import given, strategies as st

from jacinthshed.internal.routing.rendezvous import preference_order
from jacinthshed.internal.routing.subset import subset

from ..common.members import ZONES, fleet_records

SIZE = 6
CALLERS = [f"caller-{number}" for number in range(300)]
TARGETS = fleet_records(90)


def subsets(targets):
    return {host: subset(host, ZONES[0], targets, SIZE) for host in CALLERS}


@given(
    host=st.text(max_size=5),
    count=st.integers(0, 40),
    size=st.integers(1, 8),
    zone=st.sampled_from(ZONES),
)
def test_a_subset_is_bounded_and_reaches_every_zone(host, count, size, zone):
    targets = fleet_records(count)
    chosen = subset(host, zone, targets, size)
    zones = {record.availability_zone for record in targets}
    assert all(record.availability_zone == zone for record in chosen.local)
    assert {r.availability_zone for r in chosen.local + chosen.spill} == zones
    in_zone = [record for record in targets if record.availability_zone == zone]
    assert len(chosen.local) == min(size, len(in_zone))
    assert len(chosen.spill) <= max(1, size // 3) * len(zones)


def test_callers_are_balanced_over_the_targets():
    counts = Counter(r.host for s in subsets(TARGETS).values() for r in s.local)
    fair = len(CALLERS) * SIZE / 30
    assert len(counts) == 30
    assert max(counts.values()) <= 2 * fair
    assert min(counts.values()) >= fair / 2


def test_a_host_that_leaves_changes_only_its_own_links():
    before = subsets(TARGETS)
    after = subsets([r for r in TARGETS if r.host != "host-0"])
    for host in CALLERS:
        kept = {r for part in before[host] for r in part if r.host != "host-0"}
        now = {r for part in after[host] for r in part}
        assert kept <= now
        assert len(now) == len({r for part in before[host] for r in part})


@given(st.text(), st.sets(st.text(max_size=3), min_size=1))
def test_preference_order_of_the_others_is_unchanged_when_a_host_leaves(key, hosts):
    order = preference_order(key, hosts)
    assert sorted(order) == sorted(hosts)
    assert preference_order(key, hosts - {order[0]}) == order[1:]
