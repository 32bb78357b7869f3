"""The short queue in front of the slots of one target."""

import heapq
from bisect import bisect_left, insort

from .work import Work, WorkOrder, order_of


class WaitingQueue:
    """A bounded queue that is ordered by importance.

    Places are found by binary search. The list is at most some hundreds long, so that
    shifting it costs less than a balanced tree would. Expiry times stand in a heap
    whose entries are dropped lazily, when they come to its top.
    """

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self._order: list[WorkOrder] = []
        self._work: dict[int, Work] = {}
        self._expiries: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._order)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._work

    @property
    def is_full(self) -> bool:
        """Whether another entry would exceed the capacity."""
        return len(self._order) >= self.capacity

    def count_before(self, work: Work) -> int:
        """Return how many waiting entries go before ``work``."""
        return bisect_left(self._order, order_of(work))

    def push(self, work: Work, expires_at_ms: float) -> None:
        """Add ``work``, which is of no use if it has not started at the given time."""
        insort(self._order, order_of(work))
        self._work[work.ticket] = work
        heapq.heappush(self._expiries, (expires_at_ms, work.ticket))
        # Withdrawn entries leave the heap when they reach its top. Rebuilding it now
        # and then bounds its size also when they never do.
        if len(self._expiries) > 2 * max(self.capacity, len(self._order)) + 16:
            self._expiries = [e for e in self._expiries if e[1] in self._work]
            heapq.heapify(self._expiries)

    def order_at(self, place: int) -> WorkOrder | None:
        """Return the sort key of the entry at a place from 0, if there is one."""
        return self._order[place] if 0 <= place < len(self._order) else None

    def lowest(self) -> Work:
        """Return the entry that would be shed first."""
        return self._work[self._order[-1].ticket]

    def pop_first(self) -> Work:
        """Remove and return the entry that is to start next."""
        return self._work.pop(self._order.pop(0).ticket)

    def pop_lowest(self) -> Work:
        """Remove and return the entry that is to be shed first."""
        return self._work.pop(self._order.pop().ticket)

    def remove(self, ticket: int) -> Work | None:
        """Remove and return the entry of ``ticket``, if it waits here."""
        work = self._work.pop(ticket, None)
        if work is not None:
            del self._order[bisect_left(self._order, order_of(work))]
        return work

    def pop_expired(self, now_ms: float) -> list[Work]:
        """Remove and return the entries whose expiry time has come."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            work = self.remove(heapq.heappop(self._expiries)[1])
            if work is not None:
                expired.append(work)
        return expired

    def next_expiry_ms(self) -> float | None:
        """Return the earliest expiry time of the entries, if there are any."""
        while self._expiries and self._expiries[0][1] not in self._work:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None
