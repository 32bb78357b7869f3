"""Calls between routes, as observed from the calls of running requests."""

# A call graph changes with releases and policies: older observations expire.
RETENTION_MS = 10_000.0


class ObservedCalls:
    """The calls observed from each route, for bundles that declare no calls."""

    def __init__(self) -> None:
        self._last_seen_ms: dict[str, dict[str, float]] = {}

    def record(self, now_ms: float, route: str, called: str) -> None:
        """Record that a request of ``route`` called the route ``called``."""
        self._last_seen_ms.setdefault(route, {})[called] = now_ms

    def routes_called_by(self, now_ms: float, route: str) -> tuple[str, ...]:
        """Return the routes that ``route`` called within the retention time."""
        last_seen_ms = self._last_seen_ms.get(route)
        if not last_seen_ms:
            return ()
        oldest_ms = now_ms - RETENTION_MS
        for called in [c for c, at_ms in last_seen_ms.items() if at_ms < oldest_ms]:
            del last_seen_ms[called]
        return tuple(last_seen_ms)
