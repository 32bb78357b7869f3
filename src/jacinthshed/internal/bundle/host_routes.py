"""Route matching by host name and path prefix."""

from typing import NamedTuple

from .model import Route
from .route_match import RouteMatch
from .weighted_choice import WeightedChoice


class HostRoute(NamedTuple):
    """A route with the host name and the path prefix that match it.

    ``weights`` maps each service that gets requests of the route to its weight.
    """

    name: str
    host: str
    path_prefix: str
    route: Route
    weights: dict[str, float]


class _PrefixRoute(NamedTuple):
    prefix: bytes
    route: HostRoute
    choice: WeightedChoice


class HostRoutes:
    """Matches a request to the route of its host with the longest path prefix."""

    def __init__(self, *, routes: tuple[HostRoute, ...]) -> None:
        self._by_host: dict[bytes, list[_PrefixRoute]] = {}
        self._services = {route.name: frozenset(route.weights) for route in routes}
        for route in routes:
            choice = WeightedChoice(weights=route.weights)
            candidate = _PrefixRoute(route.path_prefix.encode(), route, choice)
            host = route.host.lower().encode()
            self._by_host.setdefault(host, []).append(candidate)
        for candidates in self._by_host.values():
            candidates.sort(key=lambda candidate: len(candidate.prefix), reverse=True)

    def match(
        self, method: bytes, target: bytes, host_header: bytes
    ) -> RouteMatch | None:
        """Return the route of a request, or ``None`` when there is none.

        The request target goes to the backend server unchanged.
        """
        host = host_header.partition(b":")[0].lower()
        path = target.partition(b"?")[0]
        for prefix, found, choice in self._by_host.get(host, ()):
            if path.startswith(prefix):
                return RouteMatch(found.name, found.route, choice.next(), target)
        return None

    def services_below(self, route_name: str) -> frozenset[str]:
        """Return the services that get requests of the route."""
        return self._services[route_name]
