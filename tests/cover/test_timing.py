"""Coarse timers, on a clock of the test's own."""

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
        keeper = current_timer_scheduler()
        began_s = trio.current_time()
        timer = keeper.add(lambda: fired.append(trio.current_time() - began_s))
        timer.set(began_s + 1.0)
        await trio.sleep(5.0)
        assert timer.has_fired

    run_virtual(main)
    assert fired == [pytest.approx(1.0)]


def test_a_timer_that_is_pushed_ahead_does_not_fire_before():
    fired = []

    async def main():
        timer = current_timer_scheduler().add(lambda: fired.append(trio.current_time()))
        began_s = trio.current_time()
        for number in range(10):
            timer.set(began_s + number * 0.5 + 1.0)
            await trio.sleep(0.5)
        assert not fired
        await trio.sleep(1.0)
        assert fired == [pytest.approx(began_s + 5.5)]

    run_virtual(main)


def test_a_nearer_time_wakes_the_keeper_sooner():
    fired = []

    async def main():
        keeper = current_timer_scheduler()
        began_s = trio.current_time()
        far = keeper.add(lambda: fired.append("far"))
        near = keeper.add(lambda: fired.append("near"))
        far.set(began_s + 60.0)
        await trio.sleep(1.0)
        near.set(began_s + 2.0)
        await trio.sleep(2.0)
        assert fired == ["near"]

    run_virtual(main)


def test_timers_that_fire_close_together_wait_for_a_tick_at_most():
    fired = []

    async def main():
        keeper = current_timer_scheduler()
        began_s = trio.current_time()
        for number in range(5):
            due_s = began_s + 1.0 + number * TICK_S / 4

            def fire(due_s=due_s):
                fired.append(trio.current_time() - due_s)

            keeper.add(fire).set(due_s)
        await trio.sleep(2.0)

    run_virtual(main)
    assert len(fired) == 5
    assert all(0 <= late_s <= TICK_S + 1e-9 for late_s in fired)


@pytest.mark.parametrize("how", ["cleared", "removed", "removed by another"])
def test_a_timer_that_is_off_does_not_fire(how):
    fired = []

    async def main():
        keeper = current_timer_scheduler()
        began_s = trio.current_time()
        first = keeper.add(lambda: keeper.remove(timer) if "another" in how else None)
        timer = keeper.add(lambda: fired.append(True))
        first.set(began_s + 1.0)
        timer.set(began_s + 1.0)
        if how == "cleared":
            timer.clear()
        elif how == "removed":
            keeper.remove(timer)
        await trio.sleep(3.0)
        assert timer.at_s == inf

    run_virtual(main)
    assert not fired


def test_each_run_has_a_keeper_of_its_own():
    keepers = []

    async def main():
        keepers.append(current_timer_scheduler())
        assert current_timer_scheduler() is keepers[-1]

    run_virtual(main)
    run_virtual(main)
    assert keepers[0] is not keepers[1]
