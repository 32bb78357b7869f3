"""Remembers refusals for as long as their callers were asked to wait."""

from collections import OrderedDict

MAX_REFUSALS = 8_192


class RefusedLately:
    """Requests that were refused, with the end of the wait that was asked for.

    The same request from the same caller before that end is a resend that ignores
    ``Retry-After``, however it is marked. Memory is bounded: the oldest are forgotten.
    """

    def __init__(self, *, max_refusals: int = MAX_REFUSALS) -> None:
        self._max_refusals = max_refusals
        self._until_ms: OrderedDict[tuple[str, int], float] = OrderedDict()

    def note(
        self, now_ms: float, caller: str, fingerprint: int, retry_after_ms: int
    ) -> None:
        """Remember that the caller was asked to wait ``retry_after_ms``."""
        if retry_after_ms <= 0:
            return
        request = (caller, fingerprint)
        self._until_ms[request] = now_ms + retry_after_ms
        self._until_ms.move_to_end(request)
        if len(self._until_ms) > self._max_refusals:
            self._until_ms.popitem(last=False)

    def is_early(self, now_ms: float, caller: str, fingerprint: int) -> bool:
        """Return whether the request comes before the wait that was asked for ended."""
        until_ms = self._until_ms.get((caller, fingerprint))
        return until_ms is not None and now_ms < until_ms
