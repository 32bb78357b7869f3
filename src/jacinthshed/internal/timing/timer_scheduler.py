"""The task that fires all coarse timers of one ``trio.run``."""

from collections.abc import Callable
from math import inf

import trio

from .coarse_timer import CoarseTimer

# Minimum interval between two checks of the timers. It is far below any limit that they
# implement, and long enough that checking a few hundred timers costs hardly anything.
TICK_S = 0.05


class TimerScheduler:
    """Fires the timers of one ``trio.run``.

    A timer fires at its time, or up to ``TICK_S`` later if the timers were checked just
    before.
    """

    def __init__(self) -> None:
        self.wakes_at_s = inf
        # A dict keeps the order of creation, so that runs are reproducible.
        self._timers: dict[CoarseTimer, None] = {}
        self._sleep = trio.CancelScope()
        self._last_check_s = -inf

    def add(self, fire: Callable[[], None]) -> CoarseTimer:
        """Return a new timer, which is off; the caller has to ``remove`` it later."""
        timer = CoarseTimer(scheduler=self, fire=fire)
        self._timers[timer] = None
        return timer

    def remove(self, timer: CoarseTimer) -> None:
        """Remove ``timer``; it does not fire any more."""
        timer.clear()
        self._timers.pop(timer, None)

    def wake_sooner(self, at_s: float) -> None:
        """Check the timers at ``at_s``, but not within ``TICK_S`` of the last check."""
        self.wakes_at_s = max(at_s, self._last_check_s + TICK_S)
        self._sleep.deadline = self.wakes_at_s

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._sleep = trio.CancelScope(deadline=self.wakes_at_s)
            with self._sleep:
                await trio.sleep_forever()
            self._fire_due()

    def _fire_due(self) -> None:
        now_s = self._last_check_s = trio.current_time()
        for timer in [t for t in self._timers if t.at_s <= now_s]:
            # A timer that fired before it may have rescheduled or removed this one.
            if timer.at_s <= now_s:
                timer.clear()
                timer.fire()
        earliest_s = min((t.at_s for t in self._timers), default=inf)
        self.wakes_at_s = max(earliest_s, now_s + TICK_S)


_current: trio.lowlevel.RunVar[TimerScheduler] = trio.lowlevel.RunVar("timekeeper")


def current_timer_scheduler() -> TimerScheduler:
    """Return the scheduler of this ``trio.run``; the first call starts its task."""
    try:
        return _current.get()
    except LookupError:
        scheduler = TimerScheduler()
        _current.set(scheduler)
        trio.lowlevel.spawn_system_task(scheduler.run)
        return scheduler
