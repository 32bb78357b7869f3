"""Targets whose entries expired while the store could not be reached."""

import pytest
import trio

from jacinthshed.internal.standin.store_state import StoreFaultMode
from tests.common.fleet import run_virtual
from tests.common.restored_store import write_entry
from tests.common.silent_connections import silent_machines

# Live targets are listed again within about this time after the store's return.
RELIST_S = 1.9


async def assert_targets_are_kept(fleet, *, for_s=6):
    """Check many times that each node has targets of each service."""
    for _ in range(for_s * 20):
        assert fleet.nodes_without_targets() == set()
        await trio.sleep(0.05)


@pytest.mark.parametrize("outage_s", [5, 8, 9.5])
@pytest.mark.parametrize("seed", range(2))
def test_one_node_that_did_not_notice_an_outage_removes_all_targets(seed, outage_s):
    async def main():
        async with silent_machines(seed) as fleet:
            await fleet.silence_store(for_s=outage_s, expire_entries=True)
            await fleet.list_again(within_s=RELIST_S)
            await assert_targets_are_kept(fleet)

    run_virtual(main)


@pytest.mark.parametrize("outage_s", [3.5, 4, 5])
@pytest.mark.parametrize("seed", range(3))
def test_a_call_that_is_connected_after_an_outage_removes_all_targets(seed, outage_s):
    # A watch that began in the outage is answered after it, without any failure.
    async def main():
        async with silent_machines(seed) as fleet:
            # Two changes, so that the next watches begin after the outage has.
            for slots in (5, 6):
                write_entry(fleet, fleet.ips[0], "a", slots=slots, zone="west-1")
                await trio.sleep(0.2)
            await fleet.silence_store(
                for_s=outage_s, expire_entries=True, drops_connects=True
            )
            await fleet.list_again(within_s=RELIST_S)
            await assert_targets_are_kept(fleet)

    run_virtual(main)


@pytest.mark.parametrize("delay_s", [0.1, 1])
def test_a_node_that_starts_after_an_outage_removes_all_targets(delay_s):
    async def main():
        async with silent_machines(3) as fleet:
            await fleet.silence_store(for_s=8, expire_entries=True)
            await fleet.list_again(within_s=RELIST_S)
            await trio.sleep(delay_s)
            await fleet.start_node("10.1.0.99", "a", zone="west-1", seeds=fleet.ips[:2])
            del fleet.nodes["10.1.0.99"]
            await assert_targets_are_kept(fleet)

    run_virtual(main)


@pytest.mark.parametrize("failures", [0, 12])
def test_a_target_that_is_not_listed_again_after_an_outage_is_kept(failures):
    # The calls that follow the first readings after the outage may fail, too.
    async def main():
        async with silent_machines(4) as fleet:
            await fleet.silence_store(for_s=8, expire_entries=True)
            gone = fleet.ips.pop()
            await fleet.list_again(within_s=RELIST_S)
            await trio.sleep(1.9)
            fleet.store.faults.extend([StoreFaultMode.CLOSED] * failures)
            await trio.sleep(7)
            for node in fleet.nodes.values():
                entries = node._components.state.directory.entries()
                assert sorted(entry.host for entry in entries) == fleet.ips
                assert gone not in fleet.ips

    run_virtual(main)
