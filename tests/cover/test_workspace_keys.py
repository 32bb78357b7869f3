"""Keys of workspaces: taken off at the entry, and refused once they are withdrawn."""

import json

import pytest
import trio
from hypothesis import given, strategies as st

from jacinthshed.internal.bundle.model import ReaderPolicy
from jacinthshed.internal.bundle.order import BundleOrder
from jacinthshed.internal.http.message import header
from jacinthshed.internal.platform.bounds import Bounds, read_bounds
from jacinthshed.internal.platform.policy_document import policy_document_opener
from jacinthshed.internal.workspace.freshness import (
    ANSWER_DELAY_MS,
    Freshness,
    known_at_ms,
)
from jacinthshed.internal.workspace.key_ring import KeyRing
from tests.common.fleet import run_virtual
from tests.common.machines import request
from tests.common.workspaces import (
    KEY,
    LAYOUT,
    OTHER_KEY,
    ROUTES,
    TENANTS,
    state_with,
    tenant,
    workspace_machines,
)

ENTRY = "10.0.0.2"
REVOKE_S = 5.0
CONFIG_APPLY_S = 2.0
OPEN_BUNDLE = policy_document_opener(Bounds(revoke_ms=5_000), ReaderPolicy())


def run(scenario, **options):
    async def main():
        async with workspace_machines(**options) as fleet:
            await scenario(fleet)

    run_virtual(main)


def requests_at_targets(fleet):
    return [sent for target in fleet.targets.values() for sent in target.requests]


async def status_of(fleet, ip, path, attempt, **headers):
    answer = await fleet.send(ip, request(path, attempt, **headers))
    return answer.status


def test_a_target_gets_the_name_of_the_workspace_and_never_the_key():
    async def scenario(fleet):
        status = await status_of(fleet, ENTRY, "/lookup/1", "l", credential=KEY)
        assert status == 200
        status = await status_of(
            fleet, ENTRY, "/order/1", "o", credential=OTHER_KEY, tenant="one"
        )
        assert status == 200
        status = await status_of(
            fleet, ENTRY, "/open/1", "p", credential=KEY, tenant="one"
        )
        assert status == 200
        names = {}
        for sent in requests_at_targets(fleet):
            assert header(sent.headers, b"credential") is None
            attempt = header(sent.headers, b"attempt-id")
            names[attempt] = [v for n, v in sent.headers if n == b"tenant"]
        assert names == {b"l": [b"one"], b"o": [b"other"], b"p": []}
        for lines in fleet.logs.values():
            assert KEY not in str(lines)

    run(scenario)


@pytest.mark.parametrize("key", [None, "unknown", "", KEY + " x"])
def test_a_request_without_a_valid_key_is_refused_and_never_runs(key):
    async def scenario(fleet):
        status = await status_of(fleet, ENTRY, "/order/1", "o", credential=key)
        assert status == 401
        assert requests_at_targets(fleet) == []

    run(scenario)


def test_a_call_of_a_running_request_needs_no_key():
    async def scenario(fleet):
        def answer_after_a_call(ip):
            async def answer(sent):
                if b"." in header(sent.headers, b"attempt-id"):
                    return 200
                nested = await fleet.send(ip, request("/lookup/2", "l.1"))
                return nested.status

            return answer

        for ip, target in fleet.targets.items():
            target.before_answer = answer_after_a_call(ip)
        status = await status_of(fleet, ENTRY, "/lookup/1", "l", credential=KEY)
        assert status == 200
        assert len(requests_at_targets(fleet)) == 2

    run(scenario)


def test_a_withdrawn_key_is_refused_at_every_node_and_others_are_not():
    async def scenario(fleet):
        fleet.store.put("op/config", state_with(2, TENANTS[1:]))
        await trio.sleep(CONFIG_APPLY_S)
        for ip in LAYOUT:
            assert (
                await status_of(fleet, ip, "/lookup/1", f"a{ip}", credential=KEY) == 401
            )
            status = await status_of(
                fleet, ip, "/lookup/1", f"b{ip}", credential=OTHER_KEY
            )
            assert status == 200

    run(scenario)


def test_a_node_that_hears_nothing_stops_serving_keys_in_time():
    """It went on with a policy in which the withdrawn key is valid."""

    async def scenario(fleet):
        fleet.cut_off(ENTRY)
        fleet.store.put("op/config", state_with(2, TENANTS[1:]))
        await trio.sleep(REVOKE_S)
        answer = await fleet.send(ENTRY, request("/lookup/1", "l", credential=KEY))
        assert answer.status == 503
        assert json.loads(answer.body)["reason"] == "stale-policy"
        assert float(header(answer.headers, b"retry-after")) > 0

    run(scenario)


def test_a_store_that_is_down_stops_keys_only_and_its_return_resumes_them():
    async def scenario(fleet):
        fleet.cut_off("10.200.1.7")
        await trio.sleep(REVOKE_S + 1)
        for ip in LAYOUT:
            assert (
                await status_of(fleet, ip, "/lookup/1", f"a{ip}", credential=KEY) == 503
            )
            status = await status_of(fleet, ip, "/open/1", f"o{ip}")
            assert status == 200
        fleet.cut.clear()
        await trio.sleep(3)
        for ip in LAYOUT:
            assert (
                await status_of(fleet, ip, "/lookup/1", f"b{ip}", credential=KEY) == 200
            )

    run(scenario)


def test_every_node_knows_in_calm_that_its_policy_is_the_newest():
    """Requests with keys would be refused while nothing is wrong."""

    async def scenario(fleet):
        for _ in range(100):
            await trio.sleep(0.2)
            ages_ms = [
                node._components.state.freshness.age_ms()
                for node in fleet.nodes.values()
            ]
            assert max(ages_ms) < (REVOKE_S - 0.4) * 1_000

    run(scenario)


def test_nodes_that_all_restart_serve_keys_soon():
    """They refused them for seconds, until a second answer of the store."""

    async def scenario(fleet):
        for ip in LAYOUT:
            status = await status_of(fleet, ip, "/lookup/1", f"l{ip}", credential=KEY)
            assert status == 200

    run(scenario, settle_s=1)


def test_without_a_bound_a_node_that_hears_nothing_goes_on():
    async def scenario(fleet):
        fleet.cut_off("10.200.1.7")
        await trio.sleep(20)
        assert await status_of(fleet, ENTRY, "/lookup/1", "l", credential=KEY) == 200

    run(scenario, bounds={})


def test_a_pause_that_the_clock_does_not_count_ends_what_is_known():
    """A suspended machine's monotonic clock stands still while a key is withdrawn."""

    async def scenario(fleet):
        fleet.cut_off(ENTRY)
        fleet.wall_offset_ms[ENTRY] = 4_000
        status = await status_of(fleet, ENTRY, "/lookup/1", "l", credential=KEY)
        assert status == 503

    run(scenario)


def test_an_age_grows_while_it_goes_round():
    """Nodes that hear only each other would keep a withdrawn key for ever."""
    now_ms = [0.0]
    nodes = [Freshness(now_ms=lambda: now_ms[0]) for _ in range(3)]
    order = BundleOrder(1, b"x")
    for node in nodes:
        node.is_wanted = True
    nodes[0].confirmed(0.0)
    for _ in range(200):
        now_ms[0] += 10.0
        for sender, receiver in zip(nodes, [*nodes[1:], nodes[0]], strict=True):
            receiver.peer_reported(order, order, sender.reported_age_ms())
    assert min(node.age_ms() for node in nodes) >= now_ms[0]


def test_a_report_of_a_newer_policy_says_nothing_of_an_older_one():
    node = Freshness(now_ms=lambda: 1_000.0)
    node.peer_reported(BundleOrder(1, b""), BundleOrder(2, b""), 0)
    node.peer_reported(BundleOrder(1, b""), BundleOrder(1, b""), -1)
    assert node.age_ms() > 1e9


@pytest.mark.parametrize(
    ("answered_ms", "is_watch", "known_ms"),
    [
        (5_100.0, True, 4_500.0),
        (2_000.0, True, 2_000.0 - ANSWER_DELAY_MS),
        (100.0, True, 0.0),
        (5_100.0, False, 0.0),
    ],
    ids=["whole wait", "change", "change at once", "reading"],
)
def test_an_answer_shows_the_newest_policy_at_its_earliest_time(
    answered_ms, is_watch, known_ms
):
    """A late answer showed a state that was older than it seemed."""
    found = known_at_ms(
        called_ms=0.0, answered_ms=answered_ms, watch_ms=4_500, is_watch=is_watch
    )
    assert found == known_ms


_JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda below: (
        st.lists(below, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "api_keys", "priority", "rate_per_s", "burst"]),
            below,
        )
    ),
    max_leaves=6,
)


@given(junk=st.lists(_JUNK, max_size=4), place=st.integers(0, 4))
def test_an_unreadable_workspace_takes_no_other_and_no_route_away(junk, place):
    tenants = [*junk[:place], tenant("sound", "sound-key"), *junk[place:]]
    opened = OPEN_BUNDLE(state_with(1, tenants), "test").unwrap()
    assert len(opened.bundle.routes) == len(ROUTES)
    ring = KeyRing(workspaces=opened.bundle.workspaces)
    assert ring.owner(b"sound-key").name == "sound"
    assert b"sound-key" not in str(opened.omitted).encode()


def test_a_workspace_goes_before_the_route():
    bundle = OPEN_BUNDLE(state_with(), "test").unwrap().bundle
    assert bundle.workspaces["one"].rank < bundle.workspaces["other"].rank


@pytest.mark.parametrize(
    ("values", "revoke_ms"),
    [
        ({"revoke_strict": True, "revoke_s": 5}, 5_000),
        ({"revoke_strict": False, "revoke_s": 5}, 0),
        ({"revoke_s": 5}, 0),
    ],
)
def test_the_age_is_bounded_only_where_the_platform_asks_for_it(values, revoke_ms):
    assert read_bounds(values).revoke_ms == revoke_ms


def test_only_a_bound_of_keys_keeps_gossip_in_its_zone():
    """The age of the policy goes round several times a second, also between zones."""
    state = state_with()
    unbound = policy_document_opener(Bounds(), ReaderPolicy())
    neighbours = [
        opener(state, "test").unwrap().bundle.membership.neighbours
        for opener in (OPEN_BUNDLE, unbound)
    ]
    assert neighbours == ["own-zone", "any"]
