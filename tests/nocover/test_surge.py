"""Tests of a demand surge from callers that retry often, in virtual time."""

import pytest
import trio

from tests.common.fleet import run_virtual, running_fleet
from tests.common.load import Load
from tests.common.policies import single_bundle, single_layout


@pytest.mark.parametrize("times, least", [(2, 0.95), (10, 0.90)])
def test_goodput_holds_in_a_surge_and_recovers_at_once(times, least):
    slots, targets, service_s = 4, 3, 0.1
    capacity_per_s = slots * targets / service_s

    async def main():
        bundle = single_bundle(
            services={"orders": {"slots": slots, "connections": 50, "queue": slots}}
        )
        options = {"orders": {"service_ms": service_s * 1_000, "slots": slots}}
        async with (
            running_fleet(single_layout(targets), bundle, options) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            entries = list(fleet.hosts)
            await trio.sleep(12)
            began_s = trio.current_time()
            nursery.start_soon(lambda: load.every(0.02, 5, entries, name="base"))
            await trio.sleep(1)
            await load.every(
                1 / (times * capacity_per_s), 2, entries, name="surge", tries=5
            )
            ended_s = trio.current_time()
            await trio.sleep(5)
            before = [e.status for e in load.of("base", began_s, began_s + 1)]
            assert set(before) == {200}
            good = [e for e in load.ended if e.status == 200]
            served = [e for e in good if began_s + 1 <= e.ended_s < ended_s]
            assert len(served) >= least * capacity_per_s * (ended_s - began_s - 1)
            after = [e.status for e in load.of("base", ended_s + 1)]
            assert len(after) > 20
            assert set(after) == {200}

    run_virtual(main)
