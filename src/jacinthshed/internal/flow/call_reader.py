"""From a whole HTTP request to a call, or to the reason why it is none."""

from typing import NamedTuple

import xxhash
from returns.result import Failure, Result, Success

from ..admission.work import hash_of_root
from ..bundle.model import Route
from ..bundle.route_match import RouteMatch
from ..fence.key_age import expired_key_refusal
from ..fence.strategy import (
    MAX_KEY_CHARS,
    CallerFence,
    FenceStrategy,
    FirstUse,
    GenerateKey,
    Refused,
    RevokeFirst,
    choose_strategy,
)
from ..http.message import Headers, Request, header
from ..verdict import Reason, Refusal, Verdict
from .call import Call
from .context import ParentContext
from .policy import Policy

KEY_HEADER = b"idempotency-key"
FENCE_HEADER = b"jacinthshed-fence"
DEADLINE_HEADER = b"jacinthshed-deadline-ms"
RESEND_HEADER = b"jacinthshed-resend"
CONTEXT_HEADER = b"jacinthshed-context"
SYSTEM_PREFIX = b"jacinthshed-"
HOST_HEADER = b"host"
NEW_FENCE = "new"

MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 9


class Arrival(NamedTuple):
    """When and as what a request came in.

    ``nested_key`` is the scoped key of a nested call; ``held_fence`` is the fence that
    an earlier copy of it was given, or ``new``.
    """

    request_id: str
    now_ms: float
    wall_ms: int
    parent: ParentContext | None
    calls_done: int
    caller: str
    nested_key: str = ""
    held_fence: str = ""


class ParsedCall(NamedTuple):
    """A call, and the way that it takes to its run."""

    call: Call
    path: FenceStrategy


def read_call(
    request: Request, arrival: Arrival, policy: Policy
) -> Result[ParsedCall, Refusal]:
    """Match ``request`` to its route and check the system's headers on it."""
    host = header(request.headers, HOST_HEADER) or b""
    match = policy.routes.match(request.method, request.target, host)
    if match is None:
        detail = "no route of the bundle has this method and path"
        return _refuse(Reason.UNKNOWN_ROUTE, detail)
    undeclared = _undeclared(match, arrival.parent, policy)
    if undeclared is not None:
        return _refuse(Reason.UNKNOWN_ROUTE, undeclared)
    if len(request.body) > policy.bundle.sizes.request_bytes:
        limit = policy.bundle.sizes.request_bytes
        return _refuse(Reason.TOO_LARGE, f"the body may have {limit} bytes at most")
    deadline = _deadline_ms(request.headers, match.route)
    if deadline is None:
        detail = f"Jacinthshed-Deadline-Ms: send 1 to {MAX_DEADLINE_MS}"
        return _refuse(Reason.MALFORMED, detail)
    path = _path(request.headers, match, arrival, policy)
    if isinstance(path, Refused):
        return Failure(path.refusal)
    return Success(_parsed_call(request, arrival, policy, match, deadline, path))


def _parsed_call(
    request: Request,
    arrival: Arrival,
    policy: Policy,
    match: RouteMatch,
    deadline_ms: int,
    path: FenceStrategy,
) -> ParsedCall:
    parent = arrival.parent
    root_id = parent.root_id if parent else arrival.request_id
    deadline_at_ms = arrival.now_ms + deadline_ms
    if parent is not None:
        deadline_at_ms = min(deadline_at_ms, parent.deadline_at_ms)
    left_ms = deadline_at_ms - arrival.now_ms
    call = Call(
        request_id=arrival.request_id,
        root_id=root_id,
        root_hash=parent.root_hash if parent else hash_of_root(root_id),
        # A nested call keeps its root's rank: a refund must not be shed as a lookup
        # at its last step, nor may a lookup pass for a refund.
        rank=parent.rank if parent else match.route.rank,
        route=match.route_name,
        service=match.service,
        services_below=policy.routes.services_below(match.route_name),
        idempotent=match.route.idempotent,
        method=request.method,
        target=match.backend_target,
        headers=_forwarded(request.headers),
        body=request.body,
        deadline_at_ms=deadline_at_ms,
        deadline_wall_ms=arrival.wall_ms + int(left_ms),
        invested=parent.invested + arrival.calls_done if parent else 0,
        key=_key_of(path, arrival),
        allowance=_allowance(request.headers, match, policy),
        is_resend=header(request.headers, RESEND_HEADER) is not None,
        ledger_id=parent.request_id if parent else arrival.request_id,
        parent_id=parent.request_id if parent else "",
        caller=arrival.caller,
    )
    return ParsedCall(call, path)


def may_be_resend(headers: Headers) -> bool:
    """Return whether an earlier copy of the request may have run.

    Only the caller's word that its key is new, or the lack of a key, rules that out.
    Where this is true, that nothing was sent from here proves nothing.
    """
    if header(headers, KEY_HEADER) is None:
        return False
    return (header(headers, FENCE_HEADER) or b"").strip() != NEW_FENCE.encode()


def refusal_before_send(headers: Headers, refusal: Refusal) -> Refusal:
    """Return ``refusal`` with the verdict that holds before anything was sent."""
    if may_be_resend(headers):
        return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _allowance(headers: Headers, match: RouteMatch, policy: Policy) -> int:
    """Return the allowance of a root request; a caller's marked resend gets none.

    A caller that resends spends what its request was allowed. A mark can only lower
    what a request gets, so it is taken from outside.
    """
    is_resend = header(headers, RESEND_HEADER) is not None
    if is_resend:
        return 0
    attempts = match.route.attempts
    return attempts - 1 if attempts else policy.bundle.retry.allowance


def _undeclared(
    match: RouteMatch, parent: ParentContext | None, policy: Policy
) -> str | None:
    """Return why the parent may not make this call, or ``None``.

    The checks of a bundle rest on the declared calls. One that is not declared could
    cause a side effect below a request that is sent twice.
    """
    if parent is None or match.route.idempotent:
        return None
    route = policy.bundle.routes.get(parent.route)
    if route is not None and match.route_name in route.calls:
        return None
    return f"add {match.route_name!r} to the calls of route {parent.route!r}"


def _path(
    headers: Headers, match: RouteMatch, arrival: Arrival, policy: Policy
) -> FenceStrategy:
    key = _text(headers, KEY_HEADER)
    fence = _text(headers, FENCE_HEADER)
    if arrival.parent is not None and not match.route.idempotent:
        key, fence = arrival.nested_key, arrival.held_fence
    path = choose_strategy(
        idempotent=match.route.idempotent,
        require_key=policy.bundle.fence.require_key,
        key=key,
        fence=fence,
    )
    if isinstance(path, RevokeFirst):
        too_old = expired_key_refusal(path.key, arrival.wall_ms, policy.bundle.fence)
        return path if too_old is None else Refused(too_old)
    return path


def _key_of(path: FenceStrategy, arrival: Arrival) -> str:
    if isinstance(path, CallerFence | FirstUse | RevokeFirst):
        return path.key
    return arrival.request_id if isinstance(path, GenerateKey) else ""


def nested_key(parent: ParentContext, given: str, call_number: int) -> str:
    """Return the key of a nested call, within the scope of its parent.

    The parent runs at most once, so that a key inside its scope is new when it is
    first seen, and needs no question to all targets.
    """
    scope = parent.key or parent.request_id
    key = f"{scope}/{given or call_number}"
    if len(key) <= MAX_KEY_CHARS:
        return key
    # Scopes grow with each layer of a deep graph.
    return xxhash.xxh3_128_hexdigest(key.encode())


def _text(headers: Headers, name: bytes) -> str:
    return (header(headers, name) or b"").decode("latin-1").strip()


def _deadline_ms(headers: Headers, route: Route) -> int | None:
    given = header(headers, DEADLINE_HEADER)
    limit_ms = route.limit_ms or MAX_DEADLINE_MS
    if given is None:
        return min(route.deadline_ms, limit_ms)
    if not given.isdigit() or len(given) > MAX_DEADLINE_DIGITS:
        return None
    deadline_ms = int(given)
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        return None
    return min(deadline_ms, limit_ms)


def _forwarded(headers: Headers) -> Headers:
    return tuple(field for field in headers if not field[0].startswith(SYSTEM_PREFIX))


def _refuse(reason: Reason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Verdict.NOT_RUN, reason, 0, detail))
