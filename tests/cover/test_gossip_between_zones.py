"""Gossip of whole fleets whose policy prefers neighbours in the own zone."""

import pytest

from jacinthshed.internal.bundle.model import MembershipPolicy
from tests.common.members import Fleet
from tests.common.reachability import zoned_fleet

POLICY = MembershipPolicy(neighbours="own-zone")


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("sizes", [[1, 2, 40], [20, 20, 20], [5, 5, 5, 5, 5]])
@pytest.mark.parametrize("is_rolled_out", [True, False])
def test_a_leave_is_known_in_all_zones_within_three_seconds(sizes, seed, is_rolled_out):
    """Guards against changes that reach other zones too late, with frames lost.

    Until the policy is rolled out, every second node has it.
    """
    records = zoned_fleet(sizes, "host")
    fleet = Fleet(records.values(), seed=seed, policy=POLICY)
    for number, node in enumerate(fleet.nodes.values()):
        node.view.merge(0.0, records.values())
        if number % 2 and not is_rolled_out:
            node.gossiper.set_policy(MembershipPolicy())
    fleet.run(5_000)
    host = fleet.random.choice(sorted(records))
    record = fleet.nodes[host].view.leave(fleet.now_ms)
    outbox = fleet.nodes[host].gossiper.announce(fleet.now_ms, [record])
    fleet.post(host, outbox)
    fleet.run(3_000, loss=0.1)
    assert not any(node.view.is_routable(host) for node in fleet.nodes.values())


def test_a_partition_between_zones_heals():
    """Guards against zones that keep apart once their nodes took others for gone."""
    records = zoned_fleet([4, 4, 4], "host")
    fleet = Fleet(records.values(), policy=POLICY)
    fleet.run(5_000)
    zone_hosts = {h for h, r in records.items() if r.availability_zone == "zone-0"}
    fleet.partitioned = zone_hosts
    for host, node in fleet.nodes.items():
        for other in records:
            if (other in zone_hosts) != (host in zone_hosts):
                node.view.declare_gone(fleet.now_ms, other)
    fleet.run(20_000)
    assert len(fleet.digests()) == 2
    fleet.partitioned = set()
    fleet.run(20_000)
    assert len(fleet.digests()) == 1
    for node in fleet.nodes.values():
        assert all(node.view.is_routable(host) for host in records)
