"""The order of root requests by how much of its rate their workspace uses."""

import pytest
import trio
from hypothesis import given, strategies as st

from jacinthshed.internal.admission import ROOT_HASH_SPAN
from jacinthshed.internal.admission.work import hash_of_root
from jacinthshed.internal.wire.codec import decode, encode_payload
from jacinthshed.internal.wire.usage import ALL_PERMILLE, DEMAND_UNKNOWN, UsageShare
from jacinthshed.internal.workspace.fair_share import (
    EXCESS_HASH,
    MAX_USE_PERMILLE,
    part_of_rate_permille,
    scaled_hash,
)
from jacinthshed.internal.workspace.usage_home import DEMAND_MS, UsageHome
from tests.common.fair_shares import (
    LIMIT,
    LIMITED,
    TENANTS,
    UNLIMITED,
    exchange,
    limiter,
    parent_with,
    read_call,
)
from tests.common.fleet import run_virtual
from tests.common.machines import request
from tests.common.workspaces import state_with, workspace_machines

ROOT_HASH = hash_of_root("root")
hashes = st.integers(0, ROOT_HASH_SPAN - 1)
uses = st.integers(0, 10 * ALL_PERMILLE)


def _quarter_use(workspace):
    return 250


@given(root_hash=hashes, use=st.integers(-(2**63), 2**64))
def test_a_value_of_a_peer_never_gives_a_hash_outside_the_span(root_hash, use):
    assert 0 <= scaled_hash(root_hash, use) < ROOT_HASH_SPAN


@given(root_hash=hashes)
def test_a_workspace_at_its_rate_keeps_its_hashes(root_hash):
    assert scaled_hash(root_hash, ALL_PERMILLE) == root_hash


@given(one=hashes, other=hashes, use=uses)
def test_requests_of_one_workspace_keep_their_order(one, other, use):
    """Services would refuse different root requests."""
    low, high = sorted((one, other))
    assert scaled_hash(low, use) <= scaled_hash(high, use)


@given(use=st.integers(1, 10 * ALL_PERMILLE), level=st.integers(1, EXCESS_HASH))
def test_a_level_admits_the_smaller_of_the_demand_and_its_share_of_the_rate(use, level):
    """A workspace that sent more got more at the same level."""
    admitted = level * ALL_PERMILLE // use
    for root_hash in (admitted - 1, admitted + 2):
        if 0 <= root_hash < ROOT_HASH_SPAN:
            is_admitted = scaled_hash(root_hash, use) < level
            assert is_admitted == (root_hash < admitted)


def test_the_use_of_a_tiny_rate_is_bounded():
    """A report of a tiny rate ended the home, as infinity is no integer."""
    assert part_of_rate_permille(1e19, 1e-300) == MAX_USE_PERMILLE
    assert part_of_rate_permille(0.0, 1.0) == 0


def test_a_share_keeps_its_use_on_the_way():
    share = UsageShare((("w", 400, 1_900), ("v", 1_000, DEMAND_UNKNOWN)))
    assert decode(encode_payload(share)) == share


def test_a_node_that_was_told_nothing_assumes_the_whole_use():
    assert limiter().use_permille("w") == ALL_PERMILLE


def test_a_home_that_has_not_measured_takes_no_known_use_away():
    """A new home counted from nothing, and gave large workspaces the first places."""
    node = limiter()
    node.receive(0.0, [("w", 1_000, 300)])
    node.receive(10.0, [("w", 1_000, DEMAND_UNKNOWN)])
    assert node.use_permille("w") == 300


def _told_demand(home, *, wanted, used, until_ms):
    """Return the last demand of a workspace that reports every 100 ms."""
    for now_ms in range(0, until_ms, 100):
        entry = home.report(float(now_ms), "w", LIMIT, used, wanted)
    return entry[2]


def test_a_home_tells_no_demand_before_it_has_measured_for_a_while():
    until_ms = int(DEMAND_MS)
    assert (
        _told_demand(UsageHome(), wanted=5, used=5, until_ms=until_ms) == DEMAND_UNKNOWN
    )


@pytest.mark.parametrize(
    ("wanted", "demand"), [(1, 100), (5, 500), (10, 1_000), (100, 10_000)]
)
def test_the_demand_is_what_was_wanted_and_not_what_targets_served(wanted, demand):
    """What targets refuse is counted back; a workspace would use less of its rate."""
    found = _told_demand(UsageHome(), wanted=wanted, used=0, until_ms=4_000)
    assert found == pytest.approx(demand, rel=0.25)


def test_requests_over_the_limit_are_no_use():
    """The node refuses them before; the rest would get a tenth of its share."""
    node = limiter()
    node.receive(0.0, [("w", 100, 10_000)])
    assert node.use_permille("w") == ALL_PERMILLE


def test_all_nodes_are_told_of_a_use_above_the_rate_before_it_is_limited():
    """Their hashes came first by the use of before, until the limit was reached."""
    home = UsageHome()
    _told_demand(home, wanted=5, used=5, until_ms=4_000)
    home.due(4_000.0, lambda name: LIMIT)
    for now_ms in (4_000.0, 4_100.0):
        home.report(now_ms, "w", LIMIT, 40, 40)
    told = home.due(4_250.0, lambda name: LIMIT)
    assert [name for name, _, _ in told] == ["w"]
    assert told[0][2] > 2 * ALL_PERMILLE


def test_the_demand_falls_soon_after_the_last_requests():
    """Up to 16 s are counted where requests are few, as right after much demand."""
    home = UsageHome()
    _told_demand(home, wanted=2, used=2, until_ms=10_000)
    home.due(10_000.0, lambda name: LIMIT)
    # 20 a second before, and one request in the last two seconds.
    _, _, demand = home.report(12_000.0, "w", LIMIT, 1, 1)
    assert demand <= 40


def test_a_workspace_without_a_limit_uses_the_whole():
    """A limit that was removed would go on to scale hashes."""
    limits = {"w": LIMIT}
    node, _ = exchange(limits)
    node.receive_share(UsageShare((("w", 1_000, 300),)))
    assert node.use_permille("w") == 300
    del limits["w"]
    assert node.use_permille("w") == ALL_PERMILLE


def test_a_node_knows_the_use_that_its_home_has_measured():
    node, set_now = exchange({"w": LIMIT})
    for now_ms in range(0, 10_000, 50):
        set_now(float(now_ms))
        node.admit("w")
        node.tick()
    assert node.use_permille("w") == pytest.approx(200, rel=0.25)


def test_the_hash_of_a_root_request_is_scaled_by_the_use_of_its_workspace():
    call = read_call(LIMITED, use_permille=_quarter_use)
    assert (call.workspace, call.root_hash) == ("limited", ROOT_HASH // 4)


def test_a_call_keeps_the_hash_of_its_root_also_with_a_key():
    """Scaled at each service, the calls of one root would not be shed together."""
    call = read_call(LIMITED, use_permille=_quarter_use, parent=parent_with(12_345))
    assert call.root_hash == 12_345


@pytest.mark.parametrize(
    ("key", "path"), [(None, "/open/1"), (LIMITED, "/open/1")], ids=["none", "unread"]
)
def test_a_request_without_a_workspace_keeps_its_hash(key, path):
    call = read_call(key, use_permille=_quarter_use, path=path)
    assert (call.workspace, call.root_hash) == ("", ROOT_HASH)


def test_an_entry_node_scales_by_what_its_home_has_told():
    """The figures of the home would not reach the requests of the node."""
    seen = {}

    async def scenario(fleet):
        gateway = fleet.nodes["10.0.0.2"]._components.gateway
        run = gateway._run

        def record(parsed, sender):
            seen[parsed.call.request_id] = parsed.call.root_hash
            return run(parsed, sender)

        gateway._run = record
        for number in range(30):
            for key in (LIMITED, UNLIMITED):
                sent = request("/lookup/1", f"{key}-{number}", credential=key)
                await fleet.send("10.0.0.2", sent)
            await trio.sleep(0.2)

    async def main():
        async with workspace_machines(state_with(1, TENANTS)) as fleet:
            await scenario(fleet)

    run_virtual(main)
    scaled = {name: seen[name] / hash_of_root(name) for name in seen}
    assert scaled[f"{UNLIMITED}-29"] == scaled[f"{LIMITED}-0"] == 1.0
    # 5 a second of 100.
    assert 0.02 <= scaled[f"{LIMITED}-29"] <= 0.08
