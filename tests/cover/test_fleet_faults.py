"""Random faults on a simulated fleet, checked against a simple oracle.

Every verdict is compared with the starts recorded at the backend servers.
"""

import trio
from hypothesis import given, settings, strategies as st

from tests.common.fault_schedule import FaultRun, steps
from tests.common.fleet import run_virtual, running_fleet
from tests.common.policies import single_bundle, single_layout

HOSTS = 3
KEY_LIFETIME_MS = 8_000
FENCES = {"key_lifetime_ms": KEY_LIFETIME_MS, "lifetime_ms": KEY_LIFETIME_MS}
OPTIONS = {"orders": {"service_ms": 150.0, "spread": 0.9}}


def check(schedule):
    """Run ``schedule`` and compare the starts with the verdicts."""

    async def main():
        bundle = single_bundle(fence=FENCES)
        async with running_fleet(single_layout(HOSTS), bundle, OPTIONS) as fleet:
            await trio.sleep(KEY_LIFETIME_MS / 1_000 + 1)
            assert fleet.versions() == [1] * HOSTS
            async with trio.open_nursery() as nursery:
                run = FaultRun(fleet, nursery)
                for step in schedule:
                    await run.apply(step)
                await run.settle()
                nursery.cancel_scope.cancel()
            for key, client in run.clients.items():
                starts = fleet.total_starts(key)
                assert starts <= 1, (key, client.verdicts)
                if set(client.verdicts) == {"not-run"}:
                    assert starts == 0, (key, client.verdicts)
                if "ran" in client.verdicts:
                    assert starts == 1, (key, client.verdicts)

    run_virtual(main)


@settings(max_examples=150)
@given(schedule=st.lists(steps(HOSTS), min_size=10, max_size=30))
def test_no_key_runs_twice_and_not_run_is_true(schedule):
    check(schedule)
