"""Detection of resends that ignore ``Retry-After``."""

from collections import OrderedDict

MAX_REFUSALS = 8_192


class RetryAfterTracker:
    """Idempotency keys of refused requests, with the end of their ``Retry-After`` wait.

    A request with the same key before that time is a resend that ignores
    ``Retry-After``, whether or not it is marked as a resend. Requests without a key are
    not tracked: equal ones may come from different people behind one address. At most
    ``max_refusals`` keys are stored; the oldest are evicted.
    """

    def __init__(self, *, max_refusals: int = MAX_REFUSALS) -> None:
        self._max_refusals = max_refusals
        self._until_ms: OrderedDict[str, float] = OrderedDict()

    def record(self, now_ms: float, key: str, retry_after_ms: int) -> None:
        """Record a refusal of ``key`` with a wait of ``retry_after_ms``."""
        if not key or retry_after_ms <= 0:
            return
        self._until_ms[key] = now_ms + retry_after_ms
        self._until_ms.move_to_end(key)
        if len(self._until_ms) > self._max_refusals:
            self._until_ms.popitem(last=False)

    def is_early(self, now_ms: float, key: str) -> bool:
        """Return whether ``key`` is resent before the end of its wait."""
        until_ms = self._until_ms.get(key)
        return until_ms is not None and now_ms < until_ms
