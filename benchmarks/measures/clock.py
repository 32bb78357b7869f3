"""Virtual time: a heap of events."""

import heapq
from collections.abc import Callable
from itertools import count


class Clock:
    """Runs callbacks in the order of their times; equal times in order of entry."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = count()

    def after(self, delay_ms: float, action: Callable, *args) -> None:
        """Run ``action`` when ``delay_ms`` have passed."""
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, args))

    def run(self, until_ms: float) -> None:
        """Run all events up to the given time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_ms = until_ms
