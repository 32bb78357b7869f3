"""The highest ballot that a target has promised for each key."""

from collections import deque
from typing import NamedTuple


class Promise(NamedTuple):
    """A promised ballot of one key; ``keep_until_ms`` is monotonic."""

    key: str
    ballot: str
    keep_until_ms: float


class PromiseTable:
    """Promised ballots, bounded in number.

    A promise is never evicted to make room: a fence with a lower ballot could run then.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._order: deque[Promise] = deque()
        self._by_key: dict[str, Promise] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: str) -> str:
        """Return the ballot promised for ``key``, or the empty string."""
        promise = self._by_key.get(key)
        return "" if promise is None else promise.ballot

    def add(self, key: str, ballot: str, *, keep_until_ms: float) -> bool:
        """Promise ``ballot``; return ``False`` when the table is full."""
        if len(self._order) >= self._max_entries:
            return False
        promise = Promise(key, ballot, keep_until_ms)
        self._by_key[key] = promise
        self._order.append(promise)
        return True

    def expire(self, now_ms: float) -> None:
        """Drop each promise once all fences with lower ballots have expired."""
        while self._order and self._order[0].keep_until_ms <= now_ms:
            promise = self._order.popleft()
            if self._by_key.get(promise.key) is promise:
                del self._by_key[promise.key]
