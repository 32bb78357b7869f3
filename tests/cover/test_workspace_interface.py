"""Keys of workspaces at the product's own HTTP interface, and in its bundle."""

from copy import deepcopy

import pytest
import trio
from returns.result import Failure

from jacinthshed import Reason
from jacinthshed.internal.bundle.document import parse_bundle
from jacinthshed.internal.bundle.order import BundleOrder
from jacinthshed.internal.bundle.routes import RouteTable
from jacinthshed.internal.flow.call_reader import Arrival, read_call
from jacinthshed.internal.flow.policy import Policy
from jacinthshed.internal.http.message import Request, header
from jacinthshed.internal.workspace.key_ring import RANK_STEP, KeyRing, digest_of
from tests.common.bundles import bundle_document
from tests.common.fleet import run_virtual, running_fleet
from tests.common.policies import (
    THREE_DEEP_LAYOUT,
    THREE_DEEP_OPTIONS,
    single_bundle,
    single_layout,
    three_deep_bundle,
)

KEY, OTHER_KEY = b"green-kiosk-17", b"unknown"
DIGEST = digest_of(KEY)
WORKSPACES = {"kiosks": {"key_digests": [DIGEST], "rank": 2}}
LOOKUP = b"/orders/lookup"


def request_with(key, path=LOOKUP, **fields):
    headers = [(b"host", b"callers")]
    if key is not None:
        headers.append((b"jacinthshed-key", key))
    headers += [(name.encode(), value) for name, value in fields.items()]
    return Request(method=b"GET", target=path, headers=tuple(headers), body=b"")


def with_anonymous(bundle, name):
    route = {**bundle["routes"][name], "anonymous": True}
    return {**bundle, "routes": {**bundle["routes"], name: route}}


@pytest.mark.parametrize("key", [None, OTHER_KEY, b"", DIGEST.encode()])
def test_a_request_without_a_valid_key_is_refused_and_not_run(key):
    async def main():
        bundle = {**single_bundle(), "workspaces": WORKSPACES}
        async with running_fleet(single_layout(2), bundle) as fleet:
            answer = await fleet.send("orders-0", request_with(key))
            assert answer.status == 401
            assert header(answer.headers, b"jacinthshed-verdict") == b"not-run"
            assert Reason.UNKNOWN_KEY.value.encode() in answer.body
            assert (await fleet.send("orders-0", request_with(KEY))).status == 200

    run_virtual(main)


def test_an_anonymous_route_needs_no_key():
    async def main():
        bundle = with_anonymous(single_bundle(), "lookup")
        bundle["workspaces"] = WORKSPACES
        async with running_fleet(single_layout(2), bundle) as fleet:
            assert (await fleet.send("orders-0", request_with(None))).status == 200

    run_virtual(main)


def test_calls_of_backend_servers_need_no_key():
    """They arrive at the egress, which only the backend server can reach."""

    async def main():
        bundle = {**three_deep_bundle(), "workspaces": WORKSPACES}
        options = THREE_DEEP_OPTIONS
        async with running_fleet(THREE_DEEP_LAYOUT, bundle, options) as fleet:
            answer = await fleet.send("orders-0", request_with(KEY))
            assert answer.status == 200
            assert b'"schedules"' in answer.body

    run_virtual(main)


def test_a_key_that_was_withdrawn_is_refused():
    async def main():
        bundle = {**single_bundle(), "workspaces": WORKSPACES}
        async with running_fleet(single_layout(2), bundle) as fleet:
            assert (await fleet.send("orders-0", request_with(KEY))).status == 200
            workspaces = {"kiosks": {"key_digests": [], "rank": 2}}
            fleet.publish(version=bundle["version"] + 1, workspaces=workspaces)
            await wait_for_version(fleet, bundle["version"] + 1)
            assert (await fleet.send("orders-0", request_with(KEY))).status == 401

    run_virtual(main)


def test_keys_with_a_bound_are_served_while_the_platform_answers():
    """Nodes that learn the age of the policy too seldom would refuse all keys."""

    async def main():
        bundle = {**single_bundle(), "workspaces": WORKSPACES}
        bundle["keys"] = {"max_age_ms": 12_000}
        async with running_fleet(single_layout(3), bundle) as fleet:
            await trio.sleep(12)
            for host in [f"orders-{number % 3}" for number in range(30)]:
                assert (await fleet.send(host, request_with(KEY))).status == 200
                await trio.sleep(1.1)

    run_virtual(main)


async def wait_for_version(fleet, version):
    while set(fleet.versions()) != {version}:
        await trio.sleep(0.1)


def call_of(request):
    """Return the call that an entry node makes of ``request``."""
    document = bundle_document({"workspaces": WORKSPACES})
    bundle = parse_bundle(document, source="test").unwrap()
    ring = KeyRing(workspaces=bundle.workspaces)
    policy = Policy(bundle, BundleOrder(1, b""), RouteTable(bundle), ring)
    arrival = Arrival("r", 0.0, 0, None, 0, "10.8.8.8")
    return read_call(request, arrival, policy).unwrap().call


def test_a_target_gets_the_name_of_the_workspace_and_never_the_key():
    """A caller could pose as another workspace, or a target use a caller's key."""
    fields = {"jacinthshed-workspace": b"others"}
    call = call_of(request_with(KEY, b"/spare-parts/stock", **fields))
    assert [f for f in call.headers if f[0].startswith(b"jacinthshed")] == [
        (b"jacinthshed-workspace", b"kiosks")
    ]
    assert KEY not in repr(call).encode()
    assert call.workspace == "kiosks"
    assert call.rank == 2 * RANK_STEP + 50


@pytest.mark.parametrize(
    ("edits", "line"),
    [
        ({"workspaces.kiosks.key_digests": ["K"]}, "workspaces.kiosks.key_digests[0]"),
        ({"workspaces.other.key_digests": [DIGEST]}, "workspaces.other.key_digests[0]"),
        ({"workspaces.kiosks.rank": -1}, "workspaces.kiosks.rank"),
        ({"workspaces.kiosks.rate_per_s": float("nan")}, "workspaces.kiosks.rate"),
        ({"workspaces.kiosks.burst": 5.0}, "workspaces.kiosks.burst"),
        ({"workspaces.no name.rank": 1}, "workspaces.no name"),
        ({"keys.max_age_ms": -1}, "keys.max_age_ms"),
        ({"keys.max_age_ms": 10_000}, "keys.max_age_ms"),
    ],
)
def test_a_wrong_workspace_is_reported_with_its_path_and_no_digest(edits, line):
    """A mistyped digest may be the key itself and must not appear in an output."""
    document = bundle_document({"workspaces": deepcopy(WORKSPACES), **edits})
    found = parse_bundle(document, source="test")
    assert isinstance(found, Failure)
    text = str(found.failure())
    assert line in text
    assert DIGEST not in text
    assert "'K'" not in text
