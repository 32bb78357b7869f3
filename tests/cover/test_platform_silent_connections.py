"""Policies that are confirmed while open connections deliver nothing any more."""

import pytest
import trio

from tests.common.fleet import run_virtual
from tests.common.machines import desired_state
from tests.common.silent_connections import silent_machines

# The platform's bounds hold again after this time without an impairment.
STABLE_WINDOW_S = 3


async def assert_in_force_once_stable(fleet, version):
    """Publish ``version`` one second after an impairment, two before bounds hold."""
    await trio.sleep(1)
    fleet.store.put("op/config", desired_state(version))
    await trio.sleep(STABLE_WINDOW_S - 1)
    assert fleet.outdated(version) == []


@pytest.mark.parametrize("seed", range(3))
def test_a_policy_is_late_when_all_readers_wait_on_silent_connections(seed):
    async def main():
        async with silent_machines(seed) as fleet:
            fleet.go_silent(peers=False)
            await assert_in_force_once_stable(fleet, 3)

    run_virtual(main)


@pytest.mark.parametrize("seed", range(3))
def test_a_policy_is_late_when_idle_links_between_nodes_are_silent(seed):
    async def main():
        async with silent_machines(seed) as fleet:
            fleet.go_silent(store=False)
            await assert_in_force_once_stable(fleet, 3)

    run_virtual(main)


@pytest.mark.parametrize("seed", range(3))
def test_a_policy_is_late_when_all_open_connections_are_silent(seed):
    async def main():
        async with silent_machines(seed) as fleet:
            fleet.go_silent()
            await assert_in_force_once_stable(fleet, 3)

    run_virtual(main)


@pytest.mark.parametrize("outage_s", [1, 2, 4, 9.5])
@pytest.mark.parametrize("drops_connects", [False, True])
@pytest.mark.parametrize("seed", range(2))
def test_a_policy_is_late_after_an_outage_in_which_readers_wait(
    seed, outage_s, drops_connects
):
    async def main():
        async with silent_machines(seed) as fleet:
            await fleet.silence_store(for_s=outage_s, drops_connects=drops_connects)
            await assert_in_force_once_stable(fleet, 3)

    run_virtual(main)
