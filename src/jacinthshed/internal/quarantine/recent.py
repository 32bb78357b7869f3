"""Fingerprints that succeeded lately."""

from collections import OrderedDict


class RecentSuccesses:
    """The last success of each of the fingerprints that succeeded last.

    News of a crash arrives late. What succeeded since then is innocent, and popular
    requests, which are in flight at most deaths, are always among the last.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._times_ms: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._times_ms)

    def add(self, fingerprint: int, now_ms: float) -> None:
        """Note a success."""
        self._times_ms[fingerprint] = now_ms
        self._times_ms.move_to_end(fingerprint)
        if len(self._times_ms) > self._max_entries:
            self._times_ms.popitem(last=False)

    def is_after(self, fingerprint: int, at_ms: float) -> bool:
        """Return whether a success no earlier than ``at_ms`` is known."""
        time_ms = self._times_ms.get(fingerprint)
        return time_ms is not None and time_ms >= at_ms
