"""Times, counted by how long they are."""

from bisect import bisect_left

# A call adds a millisecond at best, and the longest deadlines are some seconds.
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


class Histogram:
    """How many times fall below each of ``BOUNDS_MS``, their sum and their number."""

    __slots__ = ("_counts", "sum_ms")

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, elapsed_ms: float) -> None:
        """Count one time in milliseconds."""
        self._counts[bisect_left(BOUNDS_MS, elapsed_ms)] += 1
        self.sum_ms += elapsed_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the count of times up to each bound, the last without one."""
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip((*BOUNDS_MS, None), self._counts, strict=True):
            total += count
            buckets.append(("+Inf" if bound is None else str(bound), total))
        return buckets
