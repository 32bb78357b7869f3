"""Parsing of a complete HTTP request into a call, or into a refusal."""

from collections.abc import Callable
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
from ..workspace.fair_share import whole_use
from ..workspace.key_ring import KeyOwner
from .call import Call
from .call_access import (
    EGRESS_CALLER,
    find_owner,
    in_workspace,
    with_workspace_name,
)
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
    """The time, origin and parent of an arriving request.

    - ``now_ms`` is monotonic time, ``wall_ms`` wall-clock time.
    - ``parent`` is the context of the request that makes this call, or ``None``.
    - ``calls_done`` is the number of the parent's calls answered so far.
    - ``policy_age_ms`` is the age of the knowledge that the policy is the newest.
    - ``use_permille`` returns how much of its rate a workspace uses, in thousandths.
    - ``nested_key`` is the idempotency key of a nested call in its parent's scope.
    - ``held_fence`` is the fence that was stored for an earlier copy of a nested call,
      or ``new``.
    """

    request_id: str
    now_ms: float
    wall_ms: int
    parent: ParentContext | None
    calls_done: int
    caller: str
    policy_age_ms: float = 0.0
    use_permille: Callable[[str], int] = whole_use
    nested_key: str = ""
    held_fence: str = ""


class ParsedCall(NamedTuple):
    """A call, and the fencing strategy that its key and fence select."""

    call: Call
    strategy: FenceStrategy


def read_call(
    request: Request, arrival: Arrival, policy: Policy
) -> Result[ParsedCall, Refusal]:
    """Match ``request`` to its route; check its workspace, size, deadline and key."""
    host = header(request.headers, HOST_HEADER) or b""
    match = policy.routes.match(request.method, request.target, host)
    if match is None:
        detail = "no route of the bundle matches this method, host and path"
        return _refuse(Reason.UNKNOWN_ROUTE, detail)
    undeclared_detail = _undeclared_call_detail(match, arrival.parent, policy)
    if undeclared_detail is not None:
        return _refuse(Reason.UNKNOWN_ROUTE, undeclared_detail)
    found = _find_owner(request.headers, arrival, policy, match.route)
    if isinstance(found, Failure):
        return Failure(found.failure())
    if len(request.body) > policy.bundle.sizes.request_bytes:
        limit = policy.bundle.sizes.request_bytes
        return _refuse(
            Reason.TOO_LARGE, f"the request body exceeds the limit of {limit} bytes"
        )
    deadline = _deadline_ms(request.headers, match.route)
    if deadline is None:
        detail = (
            f"send Jacinthshed-Deadline-Ms as a whole number, 1 to {MAX_DEADLINE_MS}"
        )
        return _refuse(Reason.MALFORMED, detail)
    strategy = _choose_call_strategy(request.headers, match, arrival, policy)
    if isinstance(strategy, Refused):
        return Failure(strategy.refusal)
    parsed = _parsed_call(request, arrival, policy, match, deadline, strategy)
    owner = found.unwrap()
    if owner is None:
        return Success(parsed)
    call = in_workspace(parsed.call, owner, match.route, arrival.use_permille)
    return Success(parsed._replace(call=with_workspace_name(call, owner)))


def _find_owner(
    headers: Headers, arrival: Arrival, policy: Policy, route: Route
) -> Result[KeyOwner | None, Refusal]:
    is_local = arrival.parent is not None or arrival.caller == EGRESS_CALLER
    age_ms = arrival.policy_age_ms
    return find_owner(headers, policy, route, is_local=is_local, policy_age_ms=age_ms)


def _parsed_call(
    request: Request,
    arrival: Arrival,
    policy: Policy,
    match: RouteMatch,
    deadline_ms: int,
    strategy: FenceStrategy,
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
        # A nested call keeps its root's rank: a refund must not be shed like a lookup
        # at its last step, and a lookup must not get the priority of a refund.
        rank=parent.rank if parent else match.route.rank,
        route=match.route_name,
        service=match.service,
        services_below=policy.routes.services_below(match.route_name),
        idempotent=match.route.idempotent,
        method=request.method,
        target=match.backend_target,
        headers=_forwarded_headers(request.headers),
        body=request.body,
        deadline_at_ms=deadline_at_ms,
        deadline_wall_ms=arrival.wall_ms + int(left_ms),
        invested=parent.invested + arrival.calls_done if parent else 0,
        key=_call_key(strategy, arrival),
        allowance=_allowance(request.headers, match, policy),
        is_resend=header(request.headers, RESEND_HEADER) is not None,
        ledger_id=parent.request_id if parent else arrival.request_id,
        parent_id=parent.request_id if parent else "",
        caller=arrival.caller,
    )
    return ParsedCall(call, strategy)


def may_be_resend(headers: Headers) -> bool:
    """Return whether an earlier copy of the request may have run.

    This is ruled out only if the request has no key, or the caller declares its key as
    new. Otherwise the request may have run, even if this node sent nothing.
    """
    if header(headers, KEY_HEADER) is None:
        return False
    return (header(headers, FENCE_HEADER) or b"").strip() != NEW_FENCE.encode()


def refusal_before_send(headers: Headers, refusal: Refusal) -> Refusal:
    """Return ``refusal`` with the verdict for a request that was not sent on."""
    if may_be_resend(headers):
        return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
    return refusal


def _allowance(headers: Headers, match: RouteMatch, policy: Policy) -> int:
    """Return the retry allowance of a root request; 0 for a marked resend.

    A caller's resend uses up the allowance that its request had. The mark is accepted
    from outside, as it can only lower the allowance.
    """
    is_resend = header(headers, RESEND_HEADER) is not None
    if is_resend:
        return 0
    attempts = match.route.attempts
    return attempts - 1 if attempts else policy.bundle.retry.allowance


def _undeclared_call_detail(
    match: RouteMatch, parent: ParentContext | None, policy: Policy
) -> str | None:
    """Return the error if the parent's route does not declare this call, or ``None``.

    Bundles are validated by their declared calls. An undeclared call could cause a side
    effect below an idempotent request, which may be sent twice.
    """
    if parent is None or match.route.idempotent:
        return None
    route = policy.bundle.routes.get(parent.route)
    if route is not None and match.route_name in route.calls:
        return None
    return (
        f"add {match.route_name!r} to the calls of route {parent.route!r} in the bundle"
    )


def _choose_call_strategy(
    headers: Headers, match: RouteMatch, arrival: Arrival, policy: Policy
) -> FenceStrategy:
    key = _header_text(headers, KEY_HEADER)
    fence = _header_text(headers, FENCE_HEADER)
    if arrival.parent is not None and not match.route.idempotent:
        key, fence = arrival.nested_key, arrival.held_fence
    strategy = choose_strategy(
        idempotent=match.route.idempotent,
        require_key=policy.bundle.fence.require_key,
        key=key,
        fence=fence,
    )
    if isinstance(strategy, RevokeFirst):
        too_old = expired_key_refusal(
            strategy.key, arrival.wall_ms, policy.bundle.fence
        )
        return strategy if too_old is None else Refused(too_old)
    return strategy


def _call_key(strategy: FenceStrategy, arrival: Arrival) -> str:
    if isinstance(strategy, CallerFence | FirstUse | RevokeFirst):
        return strategy.key
    return arrival.request_id if isinstance(strategy, GenerateKey) else ""


def nested_key(parent: ParentContext, given: str, call_number: int) -> str:
    """Return the key of a nested call, prefixed with the scope of its parent.

    ``given`` is the key that the call carries, or empty. The parent runs at most once,
    so a key in its scope is new when first seen and needs no revocation at all targets.
    """
    scope = parent.key or parent.request_id
    key = f"{scope}/{given or call_number}"
    if len(key) <= MAX_KEY_CHARS:
        return key
    # The scope grows with each layer, so in a deep graph the key may get too long.
    return xxhash.xxh3_128_hexdigest(key.encode())


def _header_text(headers: Headers, name: bytes) -> str:
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


def _forwarded_headers(headers: Headers) -> Headers:
    return tuple(field for field in headers if not field[0].startswith(SYSTEM_PREFIX))


def _refuse(reason: Reason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Verdict.NOT_RUN, reason, 0, detail))
