"""Route matching by service prefix, method and path."""

from typing import NamedTuple

from .model import Bundle, Route
from .request_path import split_target
from .route_match import RouteMatch
from .service_checks import effective_prefix


class _Entry(NamedTuple):
    name: str
    route: Route


class _ServiceRoutes:
    """The routes of one service by method and path; ``depth`` is the longest path."""

    def __init__(self) -> None:
        self.by_method_and_path: dict[tuple[bytes, bytes], _Entry] = {}
        self.depth = 0

    def add(self, name: str, route: Route) -> None:
        """Add the route ``name`` under each of its methods."""
        path = route.path.rstrip("/").encode()
        self.depth = max(self.depth, path.count(b"/"))
        for method in route.methods:
            self.by_method_and_path[method.encode(), path] = _Entry(name, route)

    def find(self, method: bytes, segments: list[bytes]) -> _Entry | None:
        """Return the entry with the longest path that is a prefix of ``segments``."""
        for count in range(min(self.depth, len(segments)), -1, -1):
            path = b"".join([b"/" + segment for segment in segments[:count]])
            entry = self.by_method_and_path.get((method, path))
            if entry is not None:
                return entry
        return None


class RouteTable:
    """Matches requests by dictionary look-ups; built once for each bundle."""

    def __init__(self, bundle: Bundle) -> None:
        self._services: dict[bytes, str] = {}
        self._prefix_depth = 0
        for name, service in bundle.services.items():
            prefix = effective_prefix(name, service).encode()
            self._services[prefix] = name
            self._prefix_depth = max(self._prefix_depth, prefix.count(b"/"))
        self._hosts = {name.encode(): name for name in bundle.services}
        self._routes = {name: _ServiceRoutes() for name in bundle.services}
        for route_name, route in bundle.routes.items():
            self._routes[route.service].add(route_name, route)
        self._below = _services_below(bundle)

    def match(
        self, method: bytes, target: bytes, host_header: bytes
    ) -> RouteMatch | None:
        """Return the route of a request, or ``None`` when there is none.

        The service is the one with the longest path prefix, in whole segments, that
        the target begins with; without one it is the service that the first label of
        ``host_header`` names. A target that two servers could interpret differently has
        no route. The target sent to the backend server is the part below the service's
        prefix, with its query, in the normalized form that was matched.
        """
        split = split_target(target)
        if split is None:
            return None
        segments, query = split
        service, used = self._service_of_path(segments)
        named = self._hosts.get(_first_label(host_header))
        if service is None:
            service = named
        elif named is not None and named != service:
            # The path and the host name refer to different services. Choosing one of
            # them could run the request with the rank of another route.
            return None
        if service is None:
            return None
        below = segments[used:]
        entry = self._routes[service].find(method, below)
        if entry is None:
            return None
        backend_target = b"/" + b"/".join(below) + query
        return RouteMatch(entry.name, entry.route, service, backend_target)

    def services_below(self, route_name: str) -> frozenset[str]:
        """Return the service of a route and those of all calls declared below it."""
        return self._below[route_name]

    def _service_of_path(self, segments: list[bytes]) -> tuple[str | None, int]:
        for count in range(min(self._prefix_depth, len(segments)), 0, -1):
            prefix = b"/" + b"/".join(segments[:count])
            service = self._services.get(prefix)
            if service is not None:
                return service, count
        return None, 0


def _first_label(host_header: bytes) -> bytes:
    host = host_header.partition(b":")[0]
    return host.partition(b".")[0].lower()


def _services_below(bundle: Bundle) -> dict[str, frozenset[str]]:
    """Return, for each route, its service and those of all calls below it.

    The recursion is safe because ``bundle`` was validated: its calls have no cycle and
    a bounded depth.
    """
    known: dict[str, frozenset[str]] = {}

    def visit(name: str) -> frozenset[str]:
        if name not in known:
            route = bundle.routes[name]
            below = [visit(callee) for callee in route.calls]
            known[name] = frozenset({route.service}).union(*below)
        return known[name]

    for name in bundle.routes:
        visit(name)
    return known
