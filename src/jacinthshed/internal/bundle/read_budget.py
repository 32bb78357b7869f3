"""Rate limit of a node's reads from the platform."""

from math import inf

# With a rate from this on, two reads may follow at once: after a silence of its
# connections, a node calls again for both of its keys.
PAIR_READS_PER_S = 2.0


class ReadBudget:
    """A token bucket with a capacity of one read, or two at a high rate.

    The rate is the fleet's rate divided by the number of nodes, and at most
    ``node_reads_per_s``: during a network partition, a node in a small partition knows
    few others and would otherwise take far too large a share. The calculation is in
    docs/design/bundles.md.
    """

    def __init__(self, *, now_ms: float, node_reads_per_s: float) -> None:
        self._rate_per_ms = node_reads_per_s / 1_000
        self._capacity = 2.0 if node_reads_per_s >= PAIR_READS_PER_S else 1.0
        self._tokens = 1.0
        self._updated_ms = now_ms

    def resize(
        self, now_ms: float, *, reads_per_s: int, nodes: int, node_reads_per_s: float
    ) -> None:
        """Set the rate to this node's share of ``reads_per_s`` among ``nodes``."""
        self._refill(now_ms)
        share = reads_per_s / max(nodes, 1)
        self._rate_per_ms = min(share, node_reads_per_s) / 1_000

    def wait_ms(self, now_ms: float) -> float:
        """Return how long to wait until ``take`` succeeds; 0 when it does now.

        It is infinite when the rate is 0 and the first read was taken.
        """
        self._refill(now_ms)
        missing = max(0.0, 1.0 - self._tokens)
        if missing == 0.0:
            return 0.0
        return missing / self._rate_per_ms if self._rate_per_ms > 0.0 else inf

    def take(self, now_ms: float) -> bool:
        """Consume one read and return true, or return false if none is available."""
        if self.wait_ms(now_ms) > 0.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        tokens = self._tokens + elapsed_ms * self._rate_per_ms
        self._tokens = min(self._capacity, tokens)
        self._updated_ms = now_ms
