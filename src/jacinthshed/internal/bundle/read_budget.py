"""A node's share of the reads that the platform answers."""


class ReadBudget:
    """A token bucket that holds one read.

    The rate is the fleet's rate divided by the number of nodes, and at most
    ``node_reads_per_s``: a node in a small part of a parted fleet knows few others and
    would otherwise take a share that is far too large. The arithmetic stands in
    docs/design/bundles.md.
    """

    def __init__(self, *, now_ms: float, node_reads_per_s: float) -> None:
        self._rate_per_ms = node_reads_per_s / 1_000
        self._tokens = 1.0
        self._updated_ms = now_ms

    def resize(
        self, now_ms: float, *, reads_per_s: int, nodes: int, node_reads_per_s: float
    ) -> None:
        """Take a new share: ``reads_per_s`` of the whole fleet over ``nodes``."""
        self._refill(now_ms)
        share = reads_per_s / max(nodes, 1)
        self._rate_per_ms = min(share, node_reads_per_s) / 1_000

    def wait_ms(self, now_ms: float) -> float:
        """Return how long to wait until ``take`` succeeds; 0 when it does now."""
        self._refill(now_ms)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_ms)

    def take(self, now_ms: float) -> bool:
        """Use one read if there is one."""
        if self.wait_ms(now_ms) > 0.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._tokens = min(1.0, self._tokens + elapsed_ms * self._rate_per_ms)
        self._updated_ms = now_ms
