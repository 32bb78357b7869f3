"""A timer that costs little to set and to move."""

from collections.abc import Callable
from math import inf
from typing import Protocol


class Keeper(Protocol):
    """What a timer needs of the task that watches it."""

    wakes_at_s: float

    def wake_sooner(self, at_s: float) -> None:
        """Look at the timers at ``at_s`` already."""


class CoarseTimer:
    """Calls ``fire`` once when its time has come, or a little later.

    ``at_s`` is a time of trio's clock, infinite while the timer is off. A deadline of
    a trio scope costs about as much as the parsing of a line each time it moves; most
    waits here end long before their limit, so that only the limit has to be noted.
    """

    __slots__ = ("_keeper", "at_s", "fire")

    def __init__(self, *, keeper: Keeper, fire: Callable[[], None]) -> None:
        self._keeper = keeper
        self.fire = fire
        self.at_s = inf

    def set(self, at_s: float) -> None:
        """Fire at ``at_s``, and at no other time that was set before."""
        self.at_s = at_s
        if at_s < self._keeper.wakes_at_s:
            self._keeper.wake_sooner(at_s)

    @property
    def has_fired(self) -> bool:
        """Whether a timer that was set is off again because its time came."""
        return self.at_s == inf

    def clear(self) -> None:
        """Don't fire."""
        self.at_s = inf
