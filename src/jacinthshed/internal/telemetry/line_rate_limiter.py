"""Rate limit for the log lines of each kind that one process writes."""

from collections import Counter

# Enough lines to follow a surge, at a small cost beside serving the requests.
LINES_PER_S = 40.0
BURST_LINES = 200.0


class LineRateLimiter:
    """One token bucket per kind of line, and a count of the lines omitted."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._refilled_s: dict[str, float] = {}
        self._omitted: Counter[str] = Counter()

    def take(self, now_s: float, kind: str) -> bool:
        """Return whether to write a line of ``kind`` now, and count it if not."""
        elapsed_s = now_s - self._refilled_s.get(kind, now_s)
        self._refilled_s[kind] = now_s
        tokens = self._tokens.get(kind, BURST_LINES) + elapsed_s * LINES_PER_S
        tokens = min(BURST_LINES, tokens)
        if tokens < 1.0:
            self._tokens[kind] = tokens
            self._omitted[kind] += 1
            return False
        self._tokens[kind] = tokens - 1.0
        return True

    def take_omitted_counts(self) -> dict[str, int]:
        """Return and reset the number of omitted lines of each kind."""
        omitted = dict(self._omitted)
        self._omitted.clear()
        return omitted
