"""Routes that are found by host name and path prefix."""

from typing import NamedTuple

from .model import Route
from .route_match import RouteMatch
from .weighted_choice import WeightedChoice


class HostRoute(NamedTuple):
    """One route and where it is found.

    ``weights`` gives the share of each service that the route's requests go to.
    """

    name: str
    host: str
    path_prefix: str
    route: Route
    weights: dict[str, float]


class _Place(NamedTuple):
    prefix: bytes
    route: HostRoute
    choice: WeightedChoice


class HostRoutes:
    """Finds the route of a host with the longest prefix that begins the path."""

    def __init__(self, *, routes: tuple[HostRoute, ...]) -> None:
        self._by_host: dict[bytes, list[_Place]] = {}
        self._services = {route.name: frozenset(route.weights) for route in routes}
        for route in routes:
            choice = WeightedChoice(weights=route.weights)
            place = _Place(route.path_prefix.encode(), route, choice)
            host = route.host.lower().encode()
            self._by_host.setdefault(host, []).append(place)
        for places in self._by_host.values():
            places.sort(key=lambda place: len(place.prefix), reverse=True)

    def match(
        self, method: bytes, target: bytes, host_header: bytes
    ) -> RouteMatch | None:
        """Return the route of a request; its target is passed on as it came."""
        host = host_header.partition(b":")[0].lower()
        path = target.partition(b"?")[0]
        for prefix, found, choice in self._by_host.get(host, ()):
            if path.startswith(prefix):
                return RouteMatch(found.name, found.route, choice.next(), target)
        return None

    def services_below(self, route_name: str) -> frozenset[str]:
        """Return the services that the route's requests go to."""
        return self._services[route_name]
