"""The bounded priority queue in front of the slots of one target."""

import heapq
from bisect import bisect_left, insort

from .work import Work, WorkSortKey, sort_key


class WaitingQueue:
    """A queue of waiting work, ordered by ``sort_key``.

    Entries are kept in a sorted list and found by binary search. The list holds at
    most some hundreds of entries, so that inserting into it costs less than into a
    balanced tree. Expiry times are kept in a heap, from which the entries of removed
    work are dropped when they reach its top. The caller enforces ``capacity``.
    """

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self._order: list[WorkSortKey] = []
        self._work: dict[int, Work] = {}
        self._expiries: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._order)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._work

    @property
    def is_full(self) -> bool:
        """Whether one more entry would exceed the capacity."""
        return len(self._order) >= self.capacity

    def count_before(self, work: Work) -> int:
        """Return how many waiting entries start before ``work`` would."""
        return bisect_left(self._order, sort_key(work))

    def push(self, work: Work, expires_at_ms: float) -> None:
        """Add ``work``, which expires if it has not started by ``expires_at_ms``."""
        insort(self._order, sort_key(work))
        self._work[work.ticket] = work
        heapq.heappush(self._expiries, (expires_at_ms, work.ticket))
        # Entries of removed work leave the heap only at its top. Rebuilding the heap
        # bounds its size when they don't get there.
        if len(self._expiries) > 2 * max(self.capacity, len(self._order)) + 16:
            self._expiries = [e for e in self._expiries if e[1] in self._work]
            heapq.heapify(self._expiries)

    def sort_key_at(self, position: int) -> WorkSortKey | None:
        """Return the sort key of the entry at ``position``, from 0, or None."""
        return self._order[position] if 0 <= position < len(self._order) else None

    def lowest(self) -> Work:
        """Return the least important entry, which is shed first."""
        return self._work[self._order[-1].ticket]

    def pop_first(self) -> Work:
        """Remove and return the most important entry, which starts next."""
        return self._work.pop(self._order.pop(0).ticket)

    def pop_lowest(self) -> Work:
        """Remove and return the least important entry."""
        return self._work.pop(self._order.pop().ticket)

    def remove(self, ticket: int) -> Work | None:
        """Remove and return the entry of ``ticket``, or None if there is none."""
        work = self._work.pop(ticket, None)
        if work is not None:
            del self._order[bisect_left(self._order, sort_key(work))]
        return work

    def pop_expired(self, now_ms: float) -> list[Work]:
        """Remove and return the entries that expire at or before ``now_ms``."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_ms:
            work = self.remove(heapq.heappop(self._expiries)[1])
            if work is not None:
                expired.append(work)
        return expired

    def next_expiry_ms(self) -> float | None:
        """Return the earliest expiry time of the entries, or None without entries."""
        while self._expiries and self._expiries[0][1] not in self._work:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None
