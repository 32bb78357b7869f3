"""Conversion of the routes of a configuration document.

Each route is converted by itself, so that an unknown word in one never affects another.
"""

from collections.abc import Sequence

from ..bundle.host_routes import HostRoute
from ..bundle.model import Route
from ..settings.problem import Problem
from .lenient_decode import Fields, number_reader, read_text

# Only requests of this kind may run more than once. Every other kind, known or not, is
# treated as non-idempotent, since a repeated side effect can't be undone.
IDEMPOTENT_KIND = "idempotent"
KNOWN_KINDS = frozenset({IDEMPOTENT_KIND, "non_idempotent", "upload"})
# Service of a route whose own one can't be read. No target has it, so that requests are
# refused as not run; a route with a shorter prefix would run them at another service.
UNREADABLE_SERVICE = ""

MAX_TIMEOUT_S = 86_400.0
# Applies to a route without a readable timeout, unless the caller names a shorter one.
DEFAULT_TIMEOUT_S = 60.0
MAX_PRIORITY = 1_000_000
MAX_ATTEMPTS = 100
_MS_PER_S = 1_000


def convert_routes(found: object, problems: list[Problem]) -> tuple[HostRoute, ...]:
    """Return the routes of the list ``found`` whose host and prefix are readable.

    Parts that are left out or replaced are added to ``problems``.
    """
    if not isinstance(found, list):
        problems.append(Problem("routes", "a list", type(found).__name__))
        return ()
    routes = (
        _convert_route(fields, f"routes[{index}]", problems)
        for index, fields in enumerate(found)
    )
    return tuple(route for route in routes if route is not None)


def _convert_route(
    fields: object, path: str, problems: list[Problem]
) -> HostRoute | None:
    if not isinstance(fields, dict):
        problems.append(Problem(path, "a table", type(fields).__name__))
        return None
    host, prefix = read_text(fields, "host"), read_text(fields, "prefix")
    if not host or not prefix:
        problems.append(Problem(path, "a host and a prefix", "none that can be read"))
        return None
    weights = _read_weights(fields, path, problems)
    return HostRoute(
        name=read_text(fields, "name") or f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        weights=weights,
        route=_read_policy(fields, path, next(iter(weights)), problems),
    )


def _read_policy(
    fields: Fields, path: str, service: str, problems: list[Problem]
) -> Route:
    number = number_reader(fields, path, problems)
    kind = read_text(fields, "kind")
    if kind not in KNOWN_KINDS:
        expected = f"a kind of {sorted(KNOWN_KINDS)}"
        problems.append(Problem(f"{path}.kind", expected, repr(fields.get("kind"))))
    timeout_s = number("timeout_s", DEFAULT_TIMEOUT_S, 0, MAX_TIMEOUT_S)
    objective_s = number("slo_latency_s", 0.0, 0, MAX_TIMEOUT_S)
    return Route(
        service=service,
        rank=int(number("priority", 0, 0, MAX_PRIORITY)) + 1,
        idempotent=kind == IDEMPOTENT_KIND,
        deadline_ms=int(timeout_s * _MS_PER_S),
        limit_ms=int(timeout_s * _MS_PER_S),
        objective_ms=int(objective_s * _MS_PER_S),
        attempts=int(number("max_attempts", 1, 1, MAX_ATTEMPTS)),
        anonymous=fields.get("anonymous") is True,
    )


def _read_weights(
    fields: Fields, path: str, problems: list[Problem]
) -> dict[str, float]:
    """Return the weight of each service of a route; at least one has a weight."""
    parts = fields.get("weighted_backends")
    weights: dict[str, float] = {}
    if isinstance(parts, list):
        for index, part in enumerate(parts):
            weights |= _read_part(part, f"{path}.weighted_backends[{index}]", problems)
    if any(weights.values()):
        return weights
    service = read_text(fields, "service")
    if not service:
        problems.append(Problem(path, "a service", "none that can be read"))
    return {service or UNREADABLE_SERVICE: 1.0}


def _read_part(part: object, path: str, problems: list[Problem]) -> dict[str, float]:
    service = read_text(part, "service") if isinstance(part, dict) else ""
    if not isinstance(part, dict) or not service:
        problems.append(Problem(path, "a service and a weight", repr(part)[:80]))
        return {}
    number = number_reader(part, path, problems)
    return {service: number("weight", 0.0, 0, 1e9)}


def has_services(routes: Sequence[HostRoute]) -> bool:
    """Return whether any of ``routes`` leads to a service that could be read."""
    return any(UNREADABLE_SERVICE not in route.weights for route in routes)
