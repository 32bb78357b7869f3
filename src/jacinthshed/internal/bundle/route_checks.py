"""Validation of the routes of a bundle, except their calls."""

import re
from collections.abc import Iterator

from ..settings.problem import Problem
from .model import MAX_RANK, Bundle, Route
from .shared_checks import (
    NAME_EXPECTED,
    PATH_EXPECTED,
    check_range,
    is_name,
    is_plain_path,
)

MAX_DEADLINE_MS = 600_000
# More targets than any service of a deployment has in one availability zone.
MAX_ATTEMPTS = 100

_METHOD = re.compile(r"[A-Z][A-Z-]*")


def check_routes(bundle: Bundle) -> Iterator[Problem]:
    """Yield every problem of the routes of ``bundle``."""
    if not bundle.routes:
        yield Problem("routes", "at least one route", "none")
    for name, route in bundle.routes.items():
        path = f"routes.{name}"
        if not is_name(name):
            yield Problem(path, NAME_EXPECTED, repr(name))
        yield from _check_route(path, route, bundle)
    yield from _check_overlaps(bundle)


def _check_route(path: str, route: Route, bundle: Bundle) -> Iterator[Problem]:
    if route.service not in bundle.services:
        expected = f"one of the services {', '.join(sorted(bundle.services))}"
        yield Problem(f"{path}.service", expected, repr(route.service))
    yield from check_range(f"{path}.rank", route.rank, 1, MAX_RANK)
    yield from check_range(f"{path}.deadline_ms", route.deadline_ms, 1, MAX_DEADLINE_MS)
    for field in ("limit_ms", "objective_ms"):
        yield from check_range(
            f"{path}.{field}", getattr(route, field), 0, MAX_DEADLINE_MS
        )
    yield from check_range(f"{path}.attempts", route.attempts, 0, MAX_ATTEMPTS)
    if route.path != "/" and not is_plain_path(route.path):
        yield Problem(f"{path}.path", f"/ or {PATH_EXPECTED}", repr(route.path))
    yield from _check_methods(path, route)


def _check_methods(path: str, route: Route) -> Iterator[Problem]:
    if not route.methods:
        yield Problem(f"{path}.methods", "at least one method", "none")
    for index, method in enumerate(route.methods):
        location = f"{path}.methods[{index}]"
        if not _METHOD.fullmatch(method):
            yield Problem(
                location, "a method in capital letters, such as POST", repr(method)
            )
        if method in route.methods[:index]:
            yield Problem(location, "each method once", f"{method} again")


def _check_overlaps(bundle: Bundle) -> Iterator[Problem]:
    """Yield a problem for each two routes that would match the same request."""
    owners: dict[tuple[str, str, str], str] = {}
    for name, route in bundle.routes.items():
        for method in dict.fromkeys(route.methods):
            location = (route.service, method, route.path)
            owner = owners.setdefault(location, name)
            if owner != name:
                expected = f"another method or path than those of routes.{owner}"
                found = f"{method} {route.path} of {route.service} in both"
                yield Problem(f"routes.{name}", expected, found)
