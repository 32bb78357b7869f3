"""Histogram of durations."""

from bisect import bisect_left

# A call adds at least a millisecond, and the longest deadlines are a few seconds.
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


class Histogram:
    """Number of durations in each bucket of ``BOUNDS_MS``, and their sum."""

    __slots__ = ("_counts", "sum_ms")

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, elapsed_ms: float) -> None:
        """Add one duration in milliseconds."""
        self._counts[bisect_left(BOUNDS_MS, elapsed_ms)] += 1
        self.sum_ms += elapsed_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return pairs of an upper bound and the number of durations up to it.

        The last bound is ``"+Inf"``, so its number is the total.
        """
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip((*BOUNDS_MS, None), self._counts, strict=True):
            total += count
            buckets.append(("+Inf" if bound is None else str(bound), total))
        return buckets
