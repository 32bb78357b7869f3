"""Remembers refusals for as long as their callers were asked to wait."""

from collections import OrderedDict

MAX_REFUSALS = 8_192


class RetryAfterTracker:
    """Keys that were refused, with the end of the wait that was asked for.

    The same key before that end is a resend that ignores ``Retry-After``, however it
    is marked. Only a key tells that: equal requests without one may well come from
    different people behind one address. Memory is bounded: the oldest are forgotten.
    """

    def __init__(self, *, max_refusals: int = MAX_REFUSALS) -> None:
        self._max_refusals = max_refusals
        self._until_ms: OrderedDict[str, float] = OrderedDict()

    def record(self, now_ms: float, key: str, retry_after_ms: int) -> None:
        """Remember that the sender of ``key`` was asked to wait."""
        if not key or retry_after_ms <= 0:
            return
        self._until_ms[key] = now_ms + retry_after_ms
        self._until_ms.move_to_end(key)
        if len(self._until_ms) > self._max_refusals:
            self._until_ms.popitem(last=False)

    def is_early(self, now_ms: float, key: str) -> bool:
        """Return whether ``key`` comes before the wait that was asked for ended."""
        until_ms = self._until_ms.get(key)
        return until_ms is not None and now_ms < until_ms
