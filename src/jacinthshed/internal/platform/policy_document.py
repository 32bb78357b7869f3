"""The operators' configuration, as the product's policy."""

import hashlib
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.document import BundleError
from ..bundle.host_routes import HostRoute, HostRoutes
from ..bundle.model import (
    AdmissionPolicy,
    Bundle,
    DrainPolicy,
    FencePolicy,
    ReaderPolicy,
    RetryPolicy,
    Route,
    RoutingPolicy,
    Service,
    SizeLimits,
)
from ..bundle.opened_bundle import BundleOpener, OpenedBundle
from ..bundle.order import BundleOrder
from ..settings.problem import Problem
from .bounds import Bounds

POLICY_KEY = "op/config"

# Of the time that a process may go on after it is told to end, this share is used, so
# that its last answers are out before it is killed.
LEAVE_SHARE = 0.85
# Requests that may wait at a target: more than the longest wait of a queue allows. A
# call that waits can still end well, and one that is turned away fails its root.
QUEUE = 1_000
# Callers are sent elsewhere after two questions of one second without a good answer.
CALLERS_MS = 3_000
# A repeated request repeats the calls below it, which count where they arrive; the
# graphs seen so far are four deep.
RETRY_DEPTH = 4
# The slack is shared by this many nodes, as no node knows what others have used.
RETRY_NODES = 16

# Targets differ in speed by two and more, and one that is nearly full turns slow: work
# goes to other zones well before that.
HEADROOM = 0.35

# Above any target's slots: entries tell these, and the node beside a target is its only
# caller, so that neither refusals nor latencies have to tell how much it can run.
FIXED_LIMIT = 1_000_000
# Clocks of machines may differ by some seconds. The check by the time of day only has
# to find requests that a machine slept through.
CLOCK_SKEW_MS = 3_000
_MS_PER_S = 1_000


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route on the wire; rank 0 of ``priority`` is the most important."""

    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent"]
    timeout_s: float
    priority: int = 0
    slo_latency_s: float = 0.0
    max_attempts: int = 1
    service: str = ""
    weighted_backends: list[_Backend] = []


class _Service(msgspec.Struct):
    """A service on the wire; all callers together may hold ``max_conns``."""

    name: str
    health_path: str = ""
    max_conns: int = 64


class _Limits(msgspec.Struct):
    max_header_bytes: int = 0
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def policy_document_opener(bounds: Bounds, readers: ReaderPolicy) -> BundleOpener:
    """Return the function that reads a configuration document as a bundle."""

    def open_bundle(data: bytes, source: str) -> Result[OpenedBundle, BundleError]:
        try:
            document = msgspec.json.decode(data, type=_Document)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            problem = Problem("", "a configuration document", str(error))
            return Failure(BundleError(source, (problem,)))
        order = BundleOrder(document.version, hashlib.sha256(data).digest())
        routes = tuple(_host_route(route) for route in document.routes)
        bundle = _bundle(document, routes, bounds, readers)
        return Success(OpenedBundle(bundle, order, data, HostRoutes(routes=routes)))

    return open_bundle


def _host_route(route: _Route) -> HostRoute:
    weights = {backend.service: backend.weight for backend in route.weighted_backends}
    weights = weights or {route.service: 1.0}
    timeout_ms = int(route.timeout_s * _MS_PER_S)
    return HostRoute(
        name=route.name,
        host=route.host,
        path_prefix=route.prefix,
        weights=weights,
        route=Route(
            service=next(iter(weights)),
            rank=route.priority + 1,
            idempotent=route.kind == "idempotent",
            deadline_ms=timeout_ms,
            limit_ms=timeout_ms,
            objective_ms=int(route.slo_latency_s * _MS_PER_S),
            attempts=route.max_attempts,
        ),
    )


def _bundle(
    document: _Document,
    routes: tuple[HostRoute, ...],
    bounds: Bounds,
    readers: ReaderPolicy,
) -> Bundle:
    limits = document.limits
    return Bundle(
        deployment="",
        version=document.version,
        availability_zones=(),
        services={
            # How many requests a target runs at once stands in its own entry.
            service.name: Service(
                slots=service.max_conns, connections=service.max_conns, queue=QUEUE
            )
            for service in document.services
        },
        routes={route.name: route.route for route in routes},
        retry=RetryPolicy(
            ratio=bounds.retry_ratio / RETRY_DEPTH,
            burst=max(1, bounds.retry_slack // RETRY_NODES // RETRY_DEPTH),
        ),
        admission=AdmissionPolicy(min_limit=FIXED_LIMIT, sheds_calls=False),
        fence=FencePolicy(required=False, skew_ms=CLOCK_SKEW_MS),
        routing=RoutingPolicy(headroom=HEADROOM),
        drain=DrainPolicy(
            limit_ms=int(bounds.grace_ms * LEAVE_SHARE), callers_ms=CALLERS_MS
        ),
        readers=readers,
        sizes=SizeLimits(
            request_bytes=limits.max_body_bytes,
            head_bytes=limits.max_header_bytes,
            idle_ms=int(limits.idle_timeout_s * _MS_PER_S),
            read_ms=int(limits.header_timeout_s * _MS_PER_S),
        ),
    )
