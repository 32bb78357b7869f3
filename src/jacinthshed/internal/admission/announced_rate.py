"""The rate of requests that a backend server announces it can take."""

from math import inf

# A backend server may announce a rate of 0. Without any request, its node would not
# learn that it takes more again.
MIN_RATE_PER_S = 0.5
# Answers are given in another order than they were made, so one answer without a rate
# does not end it.
FORGET_AFTER_MS = 1_000.0
BURST_S = 0.5

_MS_PER_S = 1_000.0


class AnnouncedRate:
    """A token bucket with the rate that the backend server announced last.

    Without an announcement there is no limit. The bucket holds the requests of
    ``BURST_S`` seconds, at least one. Times are monotonic milliseconds.
    """

    def __init__(self) -> None:
        self._rate_per_s = inf
        self._tokens = 0.0
        self._updated_ms = -inf
        self._announced_ms = -inf

    @property
    def is_limited(self) -> bool:
        """Whether a rate is announced."""
        return self._rate_per_s < inf

    @property
    def rate_per_s(self) -> float:
        """The requests per second that may start; infinite without a limit."""
        return self._rate_per_s

    def announce(self, now_ms: float, rate_per_s: float | None) -> bool:
        """Record the rate in an answer, or ``None``; return whether it changed.

        The first announcement fills the bucket only with one request: others are
        already running.
        """
        if rate_per_s is None:
            if not self.is_limited or now_ms - self._announced_ms < FORGET_AFTER_MS:
                return False
            self._rate_per_s = inf
            return True
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._announced_ms = now_ms
        if rate_per_s == self._rate_per_s:
            return False
        if self.is_limited:
            self._refill(now_ms)
        else:
            self._tokens, self._updated_ms = 1.0, now_ms
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._burst)
        return True

    def next_start_ms(self) -> float:
        """Return when a request may start next, which may be in the past."""
        if not self.is_limited:
            return -inf
        missing = max(0.0, 1.0 - self._tokens)
        return self._updated_ms + missing / self._rate_per_s * _MS_PER_S

    def may_start(self, now_ms: float) -> bool:
        """Return whether a request may start now."""
        return now_ms >= self.next_start_ms()

    def take(self, now_ms: float) -> None:
        """Record that a request starts."""
        if self.is_limited:
            self._refill(now_ms)
            self._tokens -= 1.0

    def load(self, now_ms: float, waiting: int) -> float:
        """Return the used part of the rate; with ``waiting`` requests it exceeds 1."""
        if not self.is_limited:
            return 0.0
        self._refill(now_ms)
        return 1.0 - (self._tokens - waiting) / self._burst

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._updated_ms) / _MS_PER_S
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
        self._updated_ms = max(self._updated_ms, now_ms)
