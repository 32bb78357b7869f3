"""Tests that a node that leaves at any step of a request aborts none."""

import pytest
import trio

from tests.common.fleet import run_virtual, running_fleet
from tests.common.load import Load
from tests.common.policies import (
    THREE_DEEP_LAYOUT,
    THREE_DEEP_OPTIONS,
    three_deep_bundle,
)

# Longer than the minimum time for which a leaving node waits.
SERVICE_MS = 700.0
STEP_MS = 100
OPTIONS = {
    name: {
        "service_ms": SERVICE_MS,
        "spread": 0.0,
        "call_timeout_ms": 8_000.0,
        **THREE_DEEP_OPTIONS.get(name, {}),
    }
    for name in ("orders", "parts", "schedules")
}
ROUTES = {
    name: {**route, "deadline_ms": 9_000}
    for name, route in three_deep_bundle()["routes"].items()
}
WHOLE_MS = int(SERVICE_MS * len(OPTIONS))


@pytest.mark.parametrize(
    "entry, leaving",
    [
        ("orders-0", "orders-0"),
        ("orders-0", "orders-1"),
        ("orders-0", "parts-0"),
        ("schedules-0", "schedules-0"),
    ],
)
def test_a_leave_at_any_step_cuts_no_request(entry, leaving):
    bundle = three_deep_bundle(routes=ROUTES)

    async def main(leave_after_ms):
        async with (
            running_fleet(THREE_DEEP_LAYOUT, bundle, OPTIONS) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            for number in range(3):
                load.send(entry, b"GET", b"/orders/lookup", f"look-{number}")
                load.send(entry, b"POST", b"/orders/book", f"book-{number}")
            await trio.sleep(leave_after_ms / 1_000)
            fleet[leaving].node.leave()
            await fleet[leaving].node_ended.wait()
            await trio.sleep(3)
            assert len(load.ended) == 6
            failed = [ended for ended in load.ended if ended.status != 200]
            assert failed == [], (leave_after_ms, failed[:2])
            # No request was run again elsewhere.
            assert [fleet.total_starts(ended.key) for ended in load.ended] == [1] * 6
            assert [host.backend.cancelled for host in fleet.hosts.values()] == [0] * 6

    # The first step is late enough for the nodes to have read the requests.
    for leave_after_ms in range(1, WHOLE_MS + STEP_MS, STEP_MS):
        run_virtual(main, leave_after_ms)
