"""A token bucket that is filled by fresh requests and, slowly, with time."""

TRICKLE_TOKENS_PER_MS = 0.0001  # one token per 10 s


class TokenBucket:
    """Tokens for resends, at most ``burst``; the bucket starts full."""

    __slots__ = ("_burst", "_refilled_at_ms", "_tokens")

    def __init__(self, *, burst: float) -> None:
        self._burst = burst
        self._tokens = burst
        self._refilled_at_ms: float | None = None

    @property
    def has_token(self) -> bool:
        """Whether ``take`` succeeds now."""
        return self._tokens >= 1

    def add(self, tokens: float) -> None:
        """Add the tokens that a fresh request earns."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def refill(self, now_ms: float) -> None:
        """Add the tokens earned by the time since the last refill."""
        if self._refilled_at_ms is not None:
            self.add((now_ms - self._refilled_at_ms) * TRICKLE_TOKENS_PER_MS)
        self._refilled_at_ms = now_ms

    def take(self) -> bool:
        """Take one token; return whether there was one."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True
