"""The result of matching a request to a route, and the interface of matchers."""

from typing import NamedTuple, Protocol

from .model import Route


class RouteMatch(NamedTuple):
    """The route and the service that match a request.

    ``backend_target`` is the request target, with its query, that is sent to the
    backend server. No other form may be sent: this one makes the backend server resolve
    the same route.
    """

    route_name: str
    route: Route
    service: str
    backend_target: bytes


class RouteFinder(Protocol):
    """Matches requests to routes; built once for each bundle."""

    def match(
        self, method: bytes, target: bytes, host_header: bytes
    ) -> RouteMatch | None:
        """Return the route of a request, or ``None`` when there is none."""

    def services_below(self, route_name: str) -> frozenset[str]:
        """Return the service of a route and those of all calls declared below it."""
