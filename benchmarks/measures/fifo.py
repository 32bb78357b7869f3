"""A queue in order of arrival, in place of admission in the baselines."""

from collections import deque

from jacinthshed.internal.admission import NOTHING_SHED, Decision, Refuse, Start
from jacinthshed.internal.verdict import Reason


class Fifo:
    """Slots and a queue, bounded or not, behind the interface of ``Admission``."""

    def __init__(self, *, slots: int, queue: int) -> None:
        self._slots = slots
        self._capacity = queue
        self._running = 0
        self._waiting: deque[int] = deque()

    @property
    def load(self) -> float:
        return (self._running + len(self._waiting)) / self._slots

    @property
    def limit(self) -> int:
        return self._slots

    def offer(self, now_ms, work, route) -> list[Decision]:
        if self._running < self._slots:
            self._running += 1
            return [Start(work.ticket)]
        if self._capacity and len(self._waiting) >= self._capacity:
            return [Refuse(work.ticket, Reason.SHED, 0)]
        self._waiting.append(work.ticket)
        return []

    def finish(self, now_ms, ticket, latency_ms, outcome, nested_ms) -> list[Decision]:
        if self._waiting:
            return [Start(self._waiting.popleft())]
        self._running -= 1
        return []

    def expire(self, now_ms) -> list[Decision]:
        return []

    def next_expiry_ms(self) -> None:
        return None

    def level(self, now_ms):
        return NOTHING_SHED
