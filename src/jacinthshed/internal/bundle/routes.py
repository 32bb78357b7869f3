"""Finding the route of a request."""

from typing import NamedTuple

from .model import Bundle, Route
from .request_path import split_target
from .route_match import RouteMatch
from .service_checks import effective_prefix


class _Entry(NamedTuple):
    name: str
    route: Route


class _ServiceRoutes:
    """The routes of one service, by method and path."""

    def __init__(self) -> None:
        self.by_place: dict[tuple[bytes, bytes], _Entry] = {}
        self.depth = 0

    def add(self, name: str, route: Route) -> None:
        """Add the route ``name`` under each of its methods."""
        path = route.path.rstrip("/").encode()
        self.depth = max(self.depth, path.count(b"/"))
        for method in route.methods:
            self.by_place[method.encode(), path] = _Entry(name, route)

    def find(self, method: bytes, segments: list[bytes]) -> _Entry | None:
        """Return the entry with the longest path that ``segments`` begin with."""
        for count in range(min(self.depth, len(segments)), -1, -1):
            path = b"".join([b"/" + segment for segment in segments[:count]])
            entry = self.by_place.get((method, path))
            if entry is not None:
                return entry
        return None


class RouteTable:
    """Finds routes by dictionary look-ups; built once for each bundle."""

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

        The service is the one whose path prefix the target begins with (the longest
        one, in whole segments), else the one that the first label of ``host_header``
        names. A target that two servers could read differently has no route. What the
        match passes on is the target below the service's prefix, with its query, in
        the normal form that the match was made on.
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
            # The path and the host name different services. Serving either could
            # run a request under the rank of another.
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
        """Return all services on the declared path of a route, its own included."""
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
    """Return the services on the declared path of each route.

    ``bundle`` passed its checks, so the calls have no cycle and a bounded depth.
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
