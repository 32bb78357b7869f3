"""How much longer than usual work takes at a target now."""

from math import inf

MIN_PCT = 25
MAX_PCT = 800
USUAL_PCT = 100
# A slow moment lasts 600 ms. Without new responses, the last figure soon says nothing
# about the present.
DECAY_MS = 1_000.0


class Slowdown:
    """The last figure that a backend server gave of its slowness, and its age.

    Times are monotonic milliseconds.
    """

    def __init__(self) -> None:
        self._pct: int | None = None
        self._announced_ms = -inf

    def announce(self, now_ms: float, pct: int | None) -> None:
        """Record the figure of a response, in percent; ``None`` if it has none.

        The figure is limited to the range from ``MIN_PCT`` to ``MAX_PCT``.
        """
        if pct is not None:
            self._pct = min(max(pct, MIN_PCT), MAX_PCT)
            self._announced_ms = now_ms

    def factor(self, now_ms: float) -> float:
        """Return how many times as long as usual work takes now.

        It decays to 1 within ``DECAY_MS`` after the last figure.
        """
        if self._pct is None:
            return 1.0
        freshness = max(0.0, 1.0 - (now_ms - self._announced_ms) / DECAY_MS)
        return 1.0 + (self._pct / USUAL_PCT - 1.0) * min(freshness, 1.0)

    def pct(self, now_ms: float) -> int:
        """Return the factor in percent, or 0 if no response had a figure."""
        return 0 if self._pct is None else round(self.factor(now_ms) * USUAL_PCT)
