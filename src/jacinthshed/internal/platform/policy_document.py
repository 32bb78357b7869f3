"""Conversion of the operators' configuration document into policy."""

import hashlib
from typing import Annotated, Any

import msgspec
from returns.result import Failure, Result, Success

from ..bundle.document import BundleError
from ..bundle.host_routes import HostRoute, HostRoutes
from ..bundle.model import (
    AdmissionPolicy,
    Bundle,
    DrainPolicy,
    FencePolicy,
    KeyPolicy,
    MembershipPolicy,
    ReaderPolicy,
    RetryPolicy,
    RoutingPolicy,
    Service,
    SizeLimits,
)
from ..bundle.opened_bundle import BundleOpener, OpenedBundle
from ..bundle.order import BundleOrder
from ..settings.problem import Problem
from .bounds import Bounds
from .lenient_decode import Fields, decode_items, number_reader
from .policy_routes import MAX_TIMEOUT_S, convert_routes, has_services
from .policy_workspaces import convert_workspaces

POLICY_KEY = "op/config"

# Share of the grace period in which a node drains, so that its last answers are sent
# before the process is killed.
DRAIN_SHARE = 0.85
# Share of the grace period in which callers may read their last answers. The rest is
# for the exit of the process.
FLUSH_SHARE = 0.1
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
# Part of the time until a withdrawn key is refused everywhere, for steps of a clock and
# for the way of a request.
REVOKE_MARGIN_MS = 400
MAX_CONNECTIONS = 1_000_000
MAX_HEAD_BYTES = 1_048_576
# The largest limit that the operators publish. A node holds a whole body until its
# request has ended, so that it can be sent to another target.
MAX_BODY_BYTES = 64 * 1_048_576
_MS_PER_S = 1_000


class _Service(msgspec.Struct):
    """A service in the document; ``max_conns`` limits all callers together."""

    name: str
    max_conns: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS)] = 64


class _Document(msgspec.Struct):
    """The outline of the document; the parts are decoded one by one."""

    version: int
    routes: Any = None
    services: Any = None
    limits: Any = None
    tenants: Any = None


def policy_document_opener(bounds: Bounds, readers: ReaderPolicy) -> BundleOpener:
    """Return the function that parses a configuration document into a bundle.

    ``bounds`` and ``readers`` supply the policies that the document does not hold.
    Parts of a document that can't be decoded are left out and listed in its
    ``omitted``. The function returns a ``BundleError`` for a document without a
    readable version, and for one that has routes of which none can be read.
    """

    def open_bundle(data: bytes, source: str) -> Result[OpenedBundle, BundleError]:
        try:
            document = msgspec.json.decode(data, type=_Document)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            problem = Problem("", "a configuration document", str(error))
            return Failure(BundleError(source, (problem,)))
        problems: list[Problem] = []
        routes = convert_routes(document.routes, problems)
        # Operators may publish a document without routes on purpose.
        if document.routes != [] and not has_services(routes):
            return Failure(BundleError(source, tuple(problems)))
        services = decode_items(document.services, _Service, "services", problems)
        sizes = _read_sizes(document.limits, problems)
        workspaces = convert_workspaces(document.tenants, problems)
        order = BundleOrder(document.version, hashlib.sha256(data).digest())
        bundle = _bundle(document.version, routes, services, sizes, bounds, readers)
        bundle = msgspec.structs.replace(
            bundle,
            workspaces=workspaces,
            keys=_key_policy(bounds),
            membership=_membership_policy(bounds),
        )
        found = HostRoutes(routes=routes)
        return Success(OpenedBundle(bundle, order, data, found, tuple(problems)))

    return open_bundle


def _read_sizes(limits: object, problems: list[Problem]) -> SizeLimits:
    fields: Fields = limits if isinstance(limits, dict) else {}
    if limits is not None and not isinstance(limits, dict):
        problems.append(Problem("limits", "a table", type(limits).__name__))
    default = SizeLimits()

    number = number_reader(fields, "limits", problems)
    body_bytes = int(number("max_body_bytes", default.request_bytes, 1, 2**40))
    return SizeLimits(
        request_bytes=min(body_bytes, MAX_BODY_BYTES),
        head_bytes=int(number("max_header_bytes", 0, 0, MAX_HEAD_BYTES)),
        idle_ms=int(number("idle_timeout_s", 0, 0, MAX_TIMEOUT_S) * _MS_PER_S),
        read_ms=int(number("header_timeout_s", 0, 0, MAX_TIMEOUT_S) * _MS_PER_S),
    )


def _membership_policy(bounds: Bounds) -> MembershipPolicy:
    """Return the policy of gossip, which keys with a bound make frequent.

    Peers are told several times a second how old the policy can be. Most of that need
    not go to other availability zones, each of which has readers of the store.
    """
    return MembershipPolicy(neighbours="own-zone" if bounds.revoke_ms else "any")


def _key_policy(bounds: Bounds) -> KeyPolicy:
    age_ms = bounds.revoke_ms - REVOKE_MARGIN_MS if bounds.revoke_ms else 0
    return KeyPolicy(max_age_ms=max(0, age_ms))


def _bundle(
    version: int,
    routes: tuple[HostRoute, ...],
    services: list[_Service],
    sizes: SizeLimits,
    bounds: Bounds,
    readers: ReaderPolicy,
) -> Bundle:
    return Bundle(
        deployment="",
        version=version,
        availability_zones=(),
        services={
            # The number of requests that a target runs at once is in its own entry.
            service.name: Service(
                slots=service.max_conns,
                connections=service.max_conns,
                queue=MAX_QUEUED_REQUESTS,
            )
            for service in services
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
            limit_ms=int(bounds.grace_ms * DRAIN_SHARE),
            callers_ms=SERVE_CALLERS_MS,
            flush_ms=int(bounds.grace_ms * FLUSH_SHARE),
        ),
        readers=readers,
        sizes=sizes,
    )
