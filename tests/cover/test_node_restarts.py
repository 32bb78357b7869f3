"""Tests of node restarts under load, in virtual time."""

import trio
from returns.result import Success

from tests.common.fleet import run_virtual, running_fleet
from tests.common.policies import single_bundle, single_layout

HOSTS = 3
INTERVAL_S = 0.01
PAUSE_S = 1.0


async def send_lookups(caller, results):
    """Send a lookup every ``INTERVAL_S`` until cancelled."""

    async def lookup():
        results.append(await caller.request("GET", "/orders/lookup"))

    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(lookup)
            await trio.sleep(INTERVAL_S)


def test_a_rolling_restart_fails_no_lookup():
    async def main():
        options = {"orders": {"service_ms": 20.0}}
        async with (
            running_fleet(single_layout(HOSTS), single_bundle(), options) as fleet,
            trio.open_nursery() as nursery,
        ):
            results = []
            nursery.start_soon(send_lookups, fleet.caller(*fleet.hosts), results)
            for host in fleet.hosts.values():
                await trio.sleep(PAUSE_S)
                host.node.leave()
                await host.node_ended.wait()
                await host.start_node()
            await trio.sleep(PAUSE_S)
            nursery.cancel_scope.cancel()
            failed = [str(r) for r in results if not isinstance(r, Success)]
            assert len(results) > 500
            assert failed == [], (len(failed), len(results), failed[:3])

    run_virtual(main)


def test_an_entry_that_has_no_bundle_yet_fails_no_lookup():
    async def main():
        async with (
            running_fleet(single_layout(2), single_bundle()) as fleet,
            trio.open_nursery() as nursery,
        ):
            results = []
            starting = fleet["orders-1"]
            starting.kill_node()
            await trio.sleep(PAUSE_S)
            nursery.start_soon(starting.start_node)
            await trio.sleep(INTERVAL_S)
            nursery.start_soon(send_lookups, fleet.caller(*fleet.hosts), results)
            await trio.sleep(PAUSE_S)
            assert starting.decisions_of("serving") == []
            await trio.sleep(PAUSE_S)
            nursery.cancel_scope.cancel()
            failed = [str(r) for r in results if not isinstance(r, Success)]
            assert len(results) > 100
            assert failed == [], (len(failed), len(results), failed[:3])

    run_virtual(main)
