"""Fingerprints of requests that succeeded recently."""

from collections import OrderedDict


class RecentSuccesses:
    """The time of the last success of the ``max_entries`` most recent fingerprints.

    The report of a crash arrives late. A request that succeeded since the crash did not
    cause it. Frequent requests, which are in flight at most crashes, are always among
    the recent ones.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._times_ms: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._times_ms)

    def add(self, fingerprint: int, now_ms: float) -> None:
        """Record a success at ``now_ms``."""
        self._times_ms[fingerprint] = now_ms
        self._times_ms.move_to_end(fingerprint)
        if len(self._times_ms) > self._max_entries:
            self._times_ms.popitem(last=False)

    def has_success_since(self, fingerprint: int, at_ms: float) -> bool:
        """Return whether a success at or after ``at_ms`` is recorded."""
        time_ms = self._times_ms.get(fingerprint)
        return time_ms is not None and time_ms >= at_ms
