"""A token bucket that fresh requests fill."""

TRICKLE_TOKENS_PER_MS = 0.0001


class TokenBucket:
    """Tokens for resends, at most ``burst``; each resend takes one."""

    __slots__ = ("_burst", "_refilled_ms", "_tokens")

    def __init__(self, *, burst: float) -> None:
        self._burst = burst
        self._tokens = burst
        self._refilled_ms: float | None = None

    @property
    def has_token(self) -> bool:
        """Whether ``take`` succeeds now."""
        return self._tokens >= 1

    def add(self, tokens: float) -> None:
        """Add what a fresh request is worth."""
        self._tokens = min(self._burst, self._tokens + tokens)

    def refill(self, now_ms: float) -> None:
        """Add the slow trickle of the time since the last refill."""
        if self._refilled_ms is not None:
            self.add((now_ms - self._refilled_ms) * TRICKLE_TOKENS_PER_MS)
        self._refilled_ms = now_ms

    def take(self) -> bool:
        """Take the token of one resend; return whether there was one."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True
