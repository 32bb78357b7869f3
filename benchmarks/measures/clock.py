"""A clock of virtual time with a heap of events."""

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """Runs callbacks by time; those of equal time in the order they were added."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = count()

    def after(self, delay_ms: float, action: Callable, *args) -> None:
        """Call ``action`` with ``args`` after ``delay_ms``."""
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, args))

    def run(self, until_ms: float) -> None:
        """Run all events up to ``until_ms``, and advance the time to it."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_ms = until_ms
