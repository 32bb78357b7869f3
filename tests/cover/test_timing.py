"""Coarse timers, on a virtual clock."""

from math import inf

import pytest
import trio
import trio.testing

from jacinthshed.internal.timing.timer_scheduler import TICK_S, current_timer_scheduler


def run_virtual(body):
    """Run ``body`` on a clock that jumps to the next deadline."""
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_fires_once_at_its_time():
    fired = []

    async def main():
        scheduler = current_timer_scheduler()
        start_s = trio.current_time()
        timer = scheduler.add(lambda: fired.append(trio.current_time() - start_s))
        timer.set(start_s + 1.0)
        await trio.sleep(5.0)
        assert timer.has_fired

    run_virtual(main)
    assert fired == [pytest.approx(1.0)]


def test_a_timer_that_is_rescheduled_does_not_fire_at_the_old_time():
    fired = []

    async def main():
        timer = current_timer_scheduler().add(lambda: fired.append(trio.current_time()))
        start_s = trio.current_time()
        for number in range(10):
            timer.set(start_s + number * 0.5 + 1.0)
            await trio.sleep(0.5)
        assert not fired
        await trio.sleep(1.0)
        assert fired == [pytest.approx(start_s + 5.5)]

    run_virtual(main)


def test_an_earlier_time_wakes_the_scheduler_sooner():
    fired = []

    async def main():
        scheduler = current_timer_scheduler()
        start_s = trio.current_time()
        far = scheduler.add(lambda: fired.append("far"))
        near = scheduler.add(lambda: fired.append("near"))
        far.set(start_s + 60.0)
        await trio.sleep(1.0)
        near.set(start_s + 2.0)
        await trio.sleep(2.0)
        assert fired == ["near"]

    run_virtual(main)


def test_timers_that_fire_close_together_are_late_by_one_tick_at_most():
    fired = []

    async def main():
        scheduler = current_timer_scheduler()
        start_s = trio.current_time()
        for number in range(5):
            due_s = start_s + 1.0 + number * TICK_S / 4

            def fire(due_s=due_s):
                fired.append(trio.current_time() - due_s)

            scheduler.add(fire).set(due_s)
        await trio.sleep(2.0)

    run_virtual(main)
    assert len(fired) == 5
    assert all(0 <= late_s <= TICK_S + 1e-9 for late_s in fired)


@pytest.mark.parametrize("how", ["cleared", "removed", "removed by another"])
def test_a_timer_that_is_off_does_not_fire(how):
    fired = []

    async def main():
        scheduler = current_timer_scheduler()
        start_s = trio.current_time()
        first = scheduler.add(
            lambda: scheduler.remove(timer) if "another" in how else None
        )
        timer = scheduler.add(lambda: fired.append(True))
        first.set(start_s + 1.0)
        timer.set(start_s + 1.0)
        if how == "cleared":
            timer.clear()
        elif how == "removed":
            scheduler.remove(timer)
        await trio.sleep(3.0)
        assert timer.at_s == inf

    run_virtual(main)
    assert not fired


def test_each_trio_run_has_its_own_scheduler():
    schedulers = []

    async def main():
        schedulers.append(current_timer_scheduler())
        assert current_timer_scheduler() is schedulers[-1]

    run_virtual(main)
    run_virtual(main)
    assert schedulers[0] is not schedulers[1]
