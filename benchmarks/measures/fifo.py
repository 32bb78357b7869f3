"""A queue in order of arrival, which the baselines use in place of admission."""

from collections import deque

from jacinthshed.internal.admission import NOTHING_SHED, Decision, Refuse, Start
from jacinthshed.internal.verdict import Reason


class Fifo:
    """Slots and a queue with the interface of ``Admission``.

    A ``queue`` of 0 is unbounded. Waiting calls don't expire.
    """

    def __init__(self, *, slots: int, queue: int) -> None:
        self._slots = slots
        self._capacity = queue
        self._running = 0
        self._waiting: deque[int] = deque()

    @property
    def load(self) -> float:
        """Running and waiting calls over the slots."""
        return (self._running + len(self._waiting)) / self._slots

    @property
    def limit(self) -> int:
        """The number of slots."""
        return self._slots

    def offer(self, now_ms, work, route) -> list[Decision]:
        """Start ``work``, queue it, or refuse it when the queue is full."""
        if self._running < self._slots:
            self._running += 1
            return [Start(work.ticket)]
        if self._capacity and len(self._waiting) >= self._capacity:
            return [Refuse(work.ticket, Reason.SHED, 0)]
        self._waiting.append(work.ticket)
        return []

    def finish(self, now_ms, ticket, latency_ms, outcome, nested_ms) -> list[Decision]:
        """Free a slot and start the first waiting call, if there is one."""
        if self._waiting:
            return [Start(self._waiting.popleft())]
        self._running -= 1
        return []

    def expire(self, now_ms) -> list[Decision]:
        """Return no decisions, as waiting calls don't expire."""
        return []

    def next_expiry_ms(self) -> None:
        return None

    def level(self, now_ms):
        """Return ``NOTHING_SHED``: the baselines publish no shed level."""
        return NOTHING_SHED
