"""A timer that is cheap to set and to reschedule."""

from collections.abc import Callable
from math import inf
from typing import Protocol


class Scheduler(Protocol):
    """What a timer requires of the scheduler that fires it.

    ``wakes_at_s`` is the time of trio's clock at which it checks its timers next.
    """

    wakes_at_s: float

    def wake_sooner(self, at_s: float) -> None:
        """Check the timers at ``at_s``, earlier than planned."""


class CoarseTimer:
    """Calls ``fire`` once at the time that was set, or a little later.

    ``at_s`` is that time on trio's clock, and infinite while the timer is off. Moving
    the deadline of a trio cancel scope costs about as much as parsing a line. Most
    waits here end long before their limit, so that a timer only stores the limit.
    """

    __slots__ = ("_scheduler", "at_s", "fire")

    def __init__(self, *, scheduler: Scheduler, fire: Callable[[], None]) -> None:
        self._scheduler = scheduler
        self.fire = fire
        self.at_s = inf

    def set(self, at_s: float) -> None:
        """Set the timer to fire at ``at_s`` instead of any time set before."""
        self.at_s = at_s
        if at_s < self._scheduler.wakes_at_s:
            self._scheduler.wake_sooner(at_s)

    @property
    def has_fired(self) -> bool:
        """Whether the timer has fired, provided that it was set and not cleared."""
        return self.at_s == inf

    def clear(self) -> None:
        """Turn the timer off."""
        self.at_s = inf
