"""The task that watches all coarse timers of a run."""

from collections.abc import Callable
from math import inf

import trio

from .coarse_timer import CoarseTimer

# Timers are looked at no more often than this: far below any limit that they stand
# for, and rare enough that a look at a few hundred of them costs next to nothing.
TICK_S = 0.05


class TimerScheduler:
    """Fires the timers of one run of trio.

    A timer fires at its time, or up to a tick later when others fired just before.
    """

    def __init__(self) -> None:
        self.wakes_at_s = inf
        # In order of their making, so that a run repeats.
        self._timers: dict[CoarseTimer, None] = {}
        self._sleep = trio.CancelScope()
        self._looked_s = -inf

    def add(self, fire: Callable[[], None]) -> CoarseTimer:
        """Return a new timer, which is off; it has to be removed in the end."""
        timer = CoarseTimer(keeper=self, fire=fire)
        self._timers[timer] = None
        return timer

    def remove(self, timer: CoarseTimer) -> None:
        """Forget ``timer``, which doesn't fire any more."""
        timer.clear()
        self._timers.pop(timer, None)

    def wake_sooner(self, at_s: float) -> None:
        """Look at the timers at ``at_s``, or a tick after the last look."""
        self.wakes_at_s = max(at_s, self._looked_s + TICK_S)
        self._sleep.deadline = self.wakes_at_s

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._sleep = trio.CancelScope(deadline=self.wakes_at_s)
            with self._sleep:
                await trio.sleep_forever()
            self._fire_due()

    def _fire_due(self) -> None:
        now_s = self._looked_s = trio.current_time()
        for timer in [t for t in self._timers if t.at_s <= now_s]:
            # One that fired before may have moved or removed it.
            if timer.at_s <= now_s:
                timer.clear()
                timer.fire()
        first_s = min((t.at_s for t in self._timers), default=inf)
        self.wakes_at_s = max(first_s, now_s + TICK_S)


_current: trio.lowlevel.RunVar[TimerScheduler] = trio.lowlevel.RunVar("timekeeper")


def current_timer_scheduler() -> TimerScheduler:
    """Return the timekeeper of this run of trio; the first caller starts its task."""
    try:
        return _current.get()
    except LookupError:
        keeper = TimerScheduler()
        _current.set(keeper)
        trio.lowlevel.spawn_system_task(keeper.run)
        return keeper
