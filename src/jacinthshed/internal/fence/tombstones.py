"""Tombstones of fences that were refused and must never run."""

from collections import deque
from typing import NamedTuple

from ..verdict import Refusal
from .fence import Fence
from .runs import NEVER_MS


class Tombstone(NamedTuple):
    """A refused fence of one key; ``keep_until_ms`` is monotonic."""

    key: str
    nonce: str
    minted_ms: int
    keep_until_ms: float
    refusal: Refusal


class TombstoneTable:
    """Refused fences: one entry each while there is room, a horizon for the oldest.

    When a tombstone is evicted, ``horizon_ms`` rises to its mint time. From then on
    every fence that was minted at or before the horizon and has no record is refused
    too. This never reverses a *not run*, needs no clock, and refuses few valid fences:
    a fence rarely arrives for the first time long after its mint.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._order: deque[Tombstone] = deque()
        self._by_fence: dict[tuple[str, str], Tombstone] = {}
        self.horizon_ms = NEVER_MS

    def __len__(self) -> int:
        return len(self._order)

    def get(self, key: str, fence: Fence) -> Refusal | None:
        """Return the refusal of ``fence`` if it has a tombstone here."""
        tombstone = self._by_fence.get((key, fence.nonce))
        return None if tombstone is None else tombstone.refusal

    def add(
        self, key: str, fence: Fence, refusal: Refusal, *, keep_until_ms: float
    ) -> None:
        """Add a tombstone for ``fence``; an existing one keeps its first refusal."""
        if (key, fence.nonce) in self._by_fence:
            return
        tombstone = Tombstone(key, fence.nonce, fence.minted_ms, keep_until_ms, refusal)
        self._order.append(tombstone)
        self._by_fence[key, fence.nonce] = tombstone
        if len(self._order) > self._max_entries:
            self._evict_oldest()

    def expire(self, now_ms: float) -> None:
        """Drop the tombstones of fences that have expired."""
        while self._order and self._order[0].keep_until_ms <= now_ms:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        tombstone = self._order.popleft()
        del self._by_fence[tombstone.key, tombstone.nonce]
        self.horizon_ms = max(self.horizon_ms, tombstone.minted_ms)
