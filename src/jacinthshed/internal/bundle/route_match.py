"""What finding the route of a request gives, and whoever finds it."""

from typing import NamedTuple, Protocol

from .model import Route


class RouteMatch(NamedTuple):
    """The route of a request.

    ``backend_target`` is the request target as it goes to the backend server. Only this
    form may be sent on: it is what makes the backend server see the same route.
    """

    route_name: str
    route: Route
    service: str
    backend_target: bytes


class RouteFinder(Protocol):
    """Finds routes; built once for each bundle."""

    def match(
        self, method: bytes, target: bytes, host_header: bytes
    ) -> RouteMatch | None:
        """Return the route of a request, or ``None`` when there is none."""

    def services_below(self, route_name: str) -> frozenset[str]:
        """Return all services on the declared path of a route, its own included."""
