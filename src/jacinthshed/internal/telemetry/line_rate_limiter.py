"""Bounds the lines of each kind that one process writes."""

from collections import Counter

# Enough to see what happens during a surge, and little beside the work itself.
LINES_PER_S = 40.0
BURST_LINES = 200.0


class LineRateLimiter:
    """One token bucket for each kind of line, and a count of what was left out."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._filled_s: dict[str, float] = {}
        self._left_out: Counter[str] = Counter()

    def take(self, now_s: float, kind: str) -> bool:
        """Return whether a line of ``kind`` may be written now; count it if not."""
        elapsed_s = now_s - self._filled_s.get(kind, now_s)
        self._filled_s[kind] = now_s
        tokens = self._tokens.get(kind, BURST_LINES) + elapsed_s * LINES_PER_S
        tokens = min(BURST_LINES, tokens)
        if tokens < 1.0:
            self._tokens[kind] = tokens
            self._left_out[kind] += 1
            return False
        self._tokens[kind] = tokens - 1.0
        return True

    def take_omitted_counts(self) -> dict[str, int]:
        """Return how many lines of each kind were left out since the last call."""
        left_out = dict(self._left_out)
        self._left_out.clear()
        return left_out
