"""Throttles root requests of routes that fail in nested calls nearly all the time.

A root request that makes many nested calls fails when one of them fails. When a service
at the bottom of the call graph fails half of its calls, nearly no such root succeeds,
and each of them still makes its other calls. The share of the route's roots that are
admitted is then lowered, down to ``MIN_SHARE``. The roots that are still admitted show
when the route works again.
"""

# A failure multiplies the share by the first factor and a success by the second one:
# the share falls only while fewer than about one root in six succeeds.
FAILURE_FACTOR = 0.88
SUCCESS_FACTOR = 2.0
MIN_SHARE = 0.2
RETRY_AFTER_MS = 800


class RootThrottle:
    """The share of each route's root requests that one entry node admits.

    Only routes that made nested calls are throttled. A route without nested calls
    causes no load elsewhere, and a retry at another target may succeed.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._calling_routes: set[str] = set()

    def record(self, route: str, *, failed: bool, calls_done: int) -> None:
        """Record the end of a root of ``route`` with ``calls_done`` answered calls."""
        if calls_done:
            self._calling_routes.add(route)
        share = self._shares.get(route, 1.0)
        if failed:
            self._shares[route] = max(MIN_SHARE, share * FAILURE_FACTOR)
        elif share < 1.0:
            self._shares[route] = min(1.0, share * SUCCESS_FACTOR)

    def share(self, route: str) -> float:
        """Return the share of the roots of ``route`` admitted now, from 0 to 1."""
        return self._shares.get(route, 1.0) if route in self._calling_routes else 1.0

    def refusal_wait_ms(self, route: str, fraction: float) -> int | None:
        """Return the wait before a resend in milliseconds, or None to admit the root.

        ``fraction`` is a random number in ``[0, 1)``.
        """
        share = self.share(route)
        if fraction < share:
            return None
        # Spread, so that resends don't arrive together.
        return int(RETRY_AFTER_MS * (1 + fraction - share))
