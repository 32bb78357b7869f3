"""Conversion of the operators' configuration document into policy."""

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

# Share of the grace period in which a node drains, so that its last answers are sent
# before the process is killed.
DRAIN_SHARE = 0.85
# Requests that may wait at one target, more than the longest queue wait allows. A
# waiting call can still succeed, but a refused one fails its root request.
MAX_QUEUED_REQUESTS = 1_000
# How long a leaving node still serves callers. The platform routes callers to another
# node after two readiness checks of one second each without a good answer.
SERVE_CALLERS_MS = 3_000
# A retried request repeats the calls below it, and each of these is counted as a retry
# where it arrives; the known call graphs are four levels deep.
CALL_GRAPH_DEPTH = 4
# Nodes among which the retry slack is divided, since a node does not know how many
# retries the others have sent.
RETRY_SLACK_NODES = 16

# Targets differ in speed by a factor of two and more, and a nearly full one becomes
# slow, so requests go to other availability zones well before that.
ZONE_HEADROOM = 0.35

# Above any target's slots, so that the adaptive limit never applies. The slots are
# stated in the target's entry and the node beside a target is its only caller, so the
# limit need not be inferred from refusals or latencies.
MIN_ADMISSION_LIMIT = 1_000_000
# Clocks of hosts may differ by some seconds. The wall-clock check only has to detect
# requests that expired while a host was suspended.
CLOCK_SKEW_MS = 3_000
_MS_PER_S = 1_000


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route in the document; ``priority`` 0 is the most important."""

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
    """A service in the document; ``max_conns`` limits all callers together."""

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
    """Return the function that parses a configuration document into a bundle.

    ``bounds`` and ``readers`` supply the policies that the document does not hold. The
    function returns a ``BundleError`` for a document that can't be decoded.
    """

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
            # The number of requests that a target runs at once is in its own entry.
            service.name: Service(
                slots=service.max_conns,
                connections=service.max_conns,
                queue=MAX_QUEUED_REQUESTS,
            )
            for service in document.services
        },
        routes={route.name: route.route for route in routes},
        retry=RetryPolicy(
            ratio=bounds.retry_ratio / CALL_GRAPH_DEPTH,
            burst=max(1, bounds.retry_slack // RETRY_SLACK_NODES // CALL_GRAPH_DEPTH),
        ),
        admission=AdmissionPolicy(min_limit=MIN_ADMISSION_LIMIT, sheds_calls=False),
        fence=FencePolicy(required=False, skew_ms=CLOCK_SKEW_MS),
        routing=RoutingPolicy(headroom=ZONE_HEADROOM),
        drain=DrainPolicy(
            limit_ms=int(bounds.grace_ms * DRAIN_SHARE), callers_ms=SERVE_CALLERS_MS
        ),
        readers=readers,
        sizes=SizeLimits(
            request_bytes=limits.max_body_bytes,
            head_bytes=limits.max_header_bytes,
            idle_ms=int(limits.idle_timeout_s * _MS_PER_S),
            read_ms=int(limits.header_timeout_s * _MS_PER_S),
        ),
    )
