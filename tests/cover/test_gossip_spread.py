"""How fast gossip spreads changes to all nodes, in virtual time and with loss."""

from itertools import pairwise

import pytest

from jacinthshed.internal.bundle.order import BundleOrder
from jacinthshed.internal.membership.gossip import MAX_RECENT_RECORDS
from jacinthshed.internal.membership.reconciliation import Reconciliation
from jacinthshed.internal.membership.rumors import MAX_FRAME_RECORDS
from jacinthshed.internal.wire.frames import Gossip, Leaving

from ..common.members import Fleet, Node, fleet_records, listed

HOSTS = 60
LEAVE_LIMIT_MS = 3_000
BUNDLE_LIMIT_MS = 14_000
SERVICES = ("ledger", "booking", "stock")


def settled_fleet(seed):
    """Return a fleet whose views are equal."""
    records = fleet_records(HOSTS, services=SERVICES)
    fleet = Fleet(records, seed=seed)
    for node in fleet.nodes.values():
        node.view.merge(0.0, records)
    fleet.run(5_000)
    assert len(fleet.digests()) == 1
    return fleet


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("has_stale_list", [True, False])
def test_no_node_routes_to_a_host_three_seconds_after_it_left(seed, has_stale_list):
    fleet = settled_fleet(seed)
    leaving_node = fleet.nodes["host-7"]
    record = leaving_node.view.leave(fleet.now_ms)
    fleet.post("host-7", leaving_node.gossiper.announce(fleet.now_ms, [record]))
    links = fleet.random.sample(sorted(fleet.nodes.keys() - {"host-7"}), 10)
    fleet.post("host-7", [(link, Leaving("host-7", 1)) for link in links])
    stale = [listed(node.view.self_record) for node in fleet.nodes.values()]
    for _ in range(LEAVE_LIMIT_MS // 500):
        fleet.run(500, loss=0.1)
        if has_stale_list:
            for node in fleet.nodes.values():
                node.view.apply_host_list(fleet.now_ms, stale)
    for node in fleet.nodes.values():
        members = {r.host for r in node.view.members(record.service)}
        assert "host-7" not in members
    for _ in range(54):
        fleet.run(500, loss=0.1)
        assert not any(n.view.is_routable("host-7") for n in fleet.nodes.values())


@pytest.mark.parametrize("seed", range(3))
def test_a_bundle_order_spreads_to_all_nodes_in_time(seed):
    fleet = settled_fleet(seed)
    order = BundleOrder(7, b"digest")
    fleet.nodes["host-3"].order = order
    fleet.run(BUNDLE_LIMIT_MS, loss=0.3)
    assert {node.order for node in fleet.nodes.values()} == {order}


def test_a_restarted_node_gets_all_records_from_a_few_contacts():
    fleet = settled_fleet(0)
    fleet.listed = fleet.listed[:3]
    record = fleet.nodes["host-9"].view.self_record
    fleet.start(record._replace(incarnation=2))
    fleet.run(5_000)
    assert fleet.nodes["host-9"].gossiper.is_joined
    assert len(fleet.digests()) == 1


def test_a_fleet_without_changes_sends_one_frame_per_round():
    fleet = settled_fleet(0)
    frames = 0
    for _ in range(100):
        fleet.tick()
        frames += len(fleet.in_transit)
        for transfer in fleet.in_transit[:]:
            fleet.deliver(transfer)
            fleet.in_transit.remove(transfer)
        assert fleet.in_transit == []
    assert frames <= 1.3 * 10 * HOSTS


def test_a_reply_contains_a_burst_larger_than_one_frame():
    fleet = settled_fleet(0)
    informed, behind = fleet.nodes["host-1"], fleet.nodes["host-2"]
    lost = [f"host-{number}" for number in range(10, 10 + MAX_FRAME_RECORDS + 8)]
    for host in lost:
        informed.view.declare_gone(fleet.now_ms, host)
    now_ms = fleet.now_ms + 5_000
    request = Gossip(behind.view.digest, (), False, 0, b"", ())
    for target, answer in informed.gossiper.receive(now_ms, "host-2", request):
        if target == "host-2":
            behind.handle(now_ms, "host-1", answer)
    assert not any(behind.view.is_routable(host) for host in lost)


def test_a_full_view_is_requested_until_it_arrives_and_then_with_backoff():
    fleet = settled_fleet(0)
    view = fleet.nodes["host-1"].view
    state = Reconciliation(settle_ms=1_000)
    requested_ms, received_ms = [], 0.0
    for now_ms in range(100_000, 400_000, 1_000):
        state.digests_differed(now_ms, view)
        if state.should_request_full_view(now_ms):
            requested_ms.append(now_ms)
            if len(requested_ms) > 3:
                state.full_view_received(now_ms)
                received_ms = received_ms or now_ms
    before = [ms for ms in requested_ms if ms <= received_ms]
    after = [ms for ms in requested_ms if ms >= received_ms]
    assert all(b - a <= 5_000 for a, b in pairwise(before))
    gaps = [b - a for a, b in pairwise(after)]
    assert len(gaps) >= 2
    assert all(later >= 1.5 * gap for gap, later in pairwise(gaps))


def test_a_node_that_has_just_started_does_not_send_all_records():
    records = fleet_records(2 * MAX_RECENT_RECORDS)
    node = Node(records[0], seed=0)
    node.view.merge(0.0, records)
    request = Gossip(0, (), False, 0, b"", ())
    outbox = node.gossiper.receive(5_000.0, "host-1", request)
    answers = [gossip for target, gossip in outbox if target == "host-1"]
    assert 0 < sum(len(gossip.records) for gossip in answers) <= MAX_RECENT_RECORDS + 1
