"""Holds back roots of routes whose roots fail below nearly all the time.

A root with many calls below fails when one of them does. When a service at the bottom
fails half of its calls, no such root ends well, and each still makes its other calls.
The share of a route's roots that pass then falls to a floor; the roots that still pass
tell when the route works again.
"""

# A failure takes this factor off the share and a success gives the other one back: the
# share falls only while fewer than about one root in six ends well.
FAILURE_FACTOR = 0.88
SUCCESS_FACTOR = 2.0
MIN_SHARE = 0.2
RETRY_AFTER_MS = 800


class RootThrottle:
    """The share of the roots of each route that pass at one entry.

    Only routes that were seen to make calls are held back: without calls below there
    is nothing to spare, and a retry at another target may help.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._callers: set[str] = set()

    def record(self, route: str, *, failed: bool, calls_done: int) -> None:
        """Take in how a root of ``route`` ended, and how many calls were answered."""
        if calls_done:
            self._callers.add(route)
        share = self._shares.get(route, 1.0)
        if failed:
            self._shares[route] = max(MIN_SHARE, share * FAILURE_FACTOR)
        elif share < 1.0:
            self._shares[route] = min(1.0, share * SUCCESS_FACTOR)

    def share(self, route: str) -> float:
        """Return the share of the roots of ``route`` that pass now, from 0 to 1."""
        return self._shares.get(route, 1.0) if route in self._callers else 1.0

    def refusal_wait_ms(self, route: str, fraction: float) -> int | None:
        """Return the wait before a resend, in ms, or None when the root passes.

        ``fraction`` is a random number in [0, 1).
        """
        share = self.share(route)
        if fraction < share:
            return None
        # Spread, so that resends don't meet.
        return int(RETRY_AFTER_MS * (1 + fraction - share))
