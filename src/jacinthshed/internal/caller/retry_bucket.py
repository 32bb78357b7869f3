"""Bounds a caller's resends to a share of its fresh requests."""


class RetryBucket:
    """Tokens for resends: each fresh request adds ``ratio``, up to ``burst``."""

    def __init__(self, *, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._tokens = float(burst)

    @property
    def has_token(self) -> bool:
        """Whether a resend is permitted now."""
        return self._tokens >= 1

    def note_fresh_request(self) -> None:
        """Count a request that is no resend."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take the token of one resend; return whether there was one."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True
