"""Calls between routes, as observed from the calls of running requests."""

# A call graph changes with releases and policies, so a call that was not observed for
# this time is removed.
RETENTION_MS = 10_000.0


class ObservedCalls:
    """The calls observed from each route, for bundles that declare no calls."""

    def __init__(self) -> None:
        self._seen_ms: dict[str, dict[str, float]] = {}

    def record(self, now_ms: float, route: str, called: str) -> None:
        """Record that a request of ``route`` called the route ``called``."""
        self._seen_ms.setdefault(route, {})[called] = now_ms

    def routes_called_by(self, now_ms: float, route: str) -> tuple[str, ...]:
        """Return the routes that ``route`` called within the retention time."""
        seen_ms = self._seen_ms.get(route)
        if not seen_ms:
            return ()
        oldest_ms = now_ms - RETENTION_MS
        for called in [c for c, at_ms in seen_ms.items() if at_ms < oldest_ms]:
            del seen_ms[called]
        return tuple(seen_ms)
