"""Conversion of requests and answers to and from the platform's headers."""

import re
from collections.abc import Callable

from returns.result import Failure, Result, Success

from ..adapters.http_adapter import HttpAdapter
from ..admission.work import hash_of_root
from ..bundle.route_match import RouteMatch
from ..fence.strategy import Unfenced
from ..flow.announcements import Announcement
from ..flow.backend_outcome import BackendAnswer
from ..flow.call import Call
from ..flow.call_access import in_workspace
from ..flow.call_reader import HOST_HEADER, Arrival, ParsedCall
from ..flow.policy import Policy
from ..flow.steps import CallEnd
from ..http.matching import ResponseMatcher
from ..http.message import PROBLEM_JSON, Header, Headers, Request, Response, header
from ..http.problem import problem_body
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Submit
from .headers import (
    ATTEMPT_ID,
    CALLER_SERVICE,
    CONTENT_ENCODING,
    DEADLINE_MS,
    NOT_EXECUTED,
    PIN_INSTANCE,
    RESPONSE_SEAL,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
)
from .workspace_headers import find_workspace, forwarded_headers

MAX_ID_BYTES = 128
MAX_DEADLINE_DIGITS = 9
# Value of Retry-After when a target refused the request because it is full.
TARGET_FULL_RETRY_AFTER_MS = 250

_MS_PER_S = 1_000
_FAILURE_STATUS = 500
# A caller takes these statuses as a guarantee that its request has not run and never
# will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A decimal number; its digits are bounded so that it is finite.
_RATE = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")
_SERVER_LOAD = re.compile(rb"(?:[0-9]{1,9}[ \t]*,[ \t]*){3}([0-9]{1,9})")
# A node sets these headers on the request to a target; the caller's are not forwarded.
_REPLACED_HEADERS = frozenset({DEADLINE_MS, PIN_INSTANCE, CALLER_SERVICE})
_REFUSED_STATUS = {
    Reason.MALFORMED: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.UNKNOWN_KEY: 401,
    Reason.USAGE_LIMIT: 429,
}


def platform_http_adapter(service: str, own_ip: str = "") -> HttpAdapter:
    """Return the conversions between the platform's HTTP messages and calls.

    ``service`` is the service of the backend server beside the node. It is forwarded
    with each request as the service of the caller. The backend server's own calls come
    from ``own_ip``.
    """
    return HttpAdapter(
        request_id=_request_id,
        parent_id=_parent_id,
        read_call=_call_reader(service, own_ip),
        refusal_before_send=lambda headers, refusal: refusal,
        refusal_response=_refusal_response,
        call_response=_call_response,
        backend_request=_backend_request,
        matcher=_matcher,
        check_answer=_check_answer,
        read_announcement=_read_announcement,
        is_failed=lambda reply: reply.status >= _FAILURE_STATUS,
    )


def _request_id(headers: Headers) -> str | None:
    given = header(headers, ATTEMPT_ID)
    if not given or len(given) > MAX_ID_BYTES:
        return None
    return given.decode("latin-1")


def _parent_id(headers: Headers) -> str:
    """Return the part of the attempt id before its last dot, or ``""``.

    Backend servers have been seen to append a dot and a suffix to the id of the running
    request to form the id of a call, but the platform does not guarantee it. The result
    counts only where a request with that id is running at the target beside the node.
    """
    given = header(headers, ATTEMPT_ID) or b""
    return given.rpartition(b".")[0].decode("latin-1")


def _call_reader(
    service: str, own_ip: str
) -> Callable[[Request, Arrival, Policy], Result[ParsedCall, Refusal]]:
    caller = (CALLER_SERVICE, service.encode())

    def read_call(
        request: Request, arrival: Arrival, policy: Policy
    ) -> Result[ParsedCall, Refusal]:
        if _request_id(request.headers) is None:
            detail = (
                "the Attempt-Id header is missing, empty or too long: "
                f"send an id of 1 to {MAX_ID_BYTES} bytes"
            )
            return _not_run(Reason.MALFORMED, detail)
        host = header(request.headers, HOST_HEADER) or b""
        match = policy.routes.match(request.method, request.target, host)
        if match is None:
            return _not_run(
                Reason.UNKNOWN_ROUTE, "no route matches the Host header and path"
            )
        limit_ms = _limit_ms(request.headers, match.route.limit_ms)
        if limit_ms is None:
            detail = (
                "the Deadline-Ms header is malformed: send a whole number of "
                f"milliseconds of at most {MAX_DEADLINE_DIGITS} digits"
            )
            return _not_run(Reason.MALFORMED, detail)
        found = find_workspace(request, arrival, policy, match, own_ip)
        if isinstance(found, Failure):
            return Failure(found.failure())
        owner = found.unwrap()
        headers = tuple(f for f in request.headers if f[0] not in _REPLACED_HEADERS)
        headers = forwarded_headers(headers, policy, owner)
        call = _call(request, arrival, match, limit_ms, (*headers, caller))
        if owner is not None:
            call = in_workspace(call, owner, match.route, arrival.use_permille)
        return Success(ParsedCall(call, Unfenced()))

    return read_call


def _limit_ms(headers: Headers, route_limit_ms: int) -> int | None:
    """Return the time that the caller and the route leave; ``None`` if malformed."""
    given = header(headers, DEADLINE_MS)
    if given is None:
        return route_limit_ms
    if not given.isdigit() or len(given) > MAX_DEADLINE_DIGITS:
        return None
    return min(route_limit_ms, int(given))


def _call(
    request: Request,
    arrival: Arrival,
    match: RouteMatch,
    limit_ms: int,
    headers: Headers,
) -> Call:
    parent = arrival.parent
    root_id = parent.root_id if parent else arrival.request_id
    return Call(
        request_id=arrival.request_id,
        root_id=root_id,
        root_hash=parent.root_hash if parent else hash_of_root(root_id),
        # A call has the rank of its root request, so that every layer sheds the calls
        # of the same root requests.
        rank=parent.rank if parent else match.route.rank,
        route=match.route_name,
        service=match.service,
        services_below=frozenset({match.service}),
        idempotent=match.route.idempotent,
        method=request.method,
        target=match.backend_target,
        headers=headers,
        body=request.body,
        deadline_at_ms=arrival.now_ms + limit_ms,
        deadline_wall_ms=arrival.wall_ms + limit_ms,
        invested=parent.invested + arrival.calls_done + 1 if parent else 0,
        key="",
        ledger_id=arrival.request_id,
        allowance=match.route.attempts - 1,
        is_resend=False,
        parent_id=parent.request_id if parent else "",
        caller=arrival.caller,
    )


def _refusal_response(request_id: str, refusal: Refusal) -> Response:
    status = _status(refusal)
    headers: list[Header] = [
        (b"content-type", PROBLEM_JSON),
        (ATTEMPT_ID, request_id.encode("latin-1", "replace")),
    ]
    if status in _NOT_RUN_STATUSES and refusal.retry_after_ms > 0:
        wait_s = refusal.retry_after_ms / _MS_PER_S
        headers.append((RETRY_AFTER, f"{wait_s:.3f}".encode()))
    return Response(status, tuple(headers), problem_body(refusal, status))


def _status(refusal: Refusal) -> int:
    """Return the HTTP status of ``refusal``.

    A status that guarantees that the request has not run is returned only when the
    verdict proves it.
    """
    if refusal.verdict is Verdict.NOT_RUN:
        return _REFUSED_STATUS.get(refusal.reason, 503)
    return 504 if refusal.reason is Reason.DEADLINE else 502


def _call_response(request_id: str, end: CallEnd) -> Response:
    if end.refusal is not None:
        return _refusal_response(request_id, end.refusal)
    assert end.reply is not None
    return Response(end.reply.status, end.reply.headers, end.reply.body)


def _backend_request(submit: Submit, deadline_ms: float) -> Request:
    headers = (*submit.headers, (DEADLINE_MS, str(int(deadline_ms)).encode()))
    if submit.target_id:
        headers += ((PIN_INSTANCE, submit.target_id.encode()),)
    return Request(submit.method, submit.target, headers, submit.body)


def _matcher(submit: Submit) -> ResponseMatcher:
    own_id = header(submit.headers, ATTEMPT_ID)
    assert own_id is not None
    # A target that refuses a request before reading its id answers without one.
    return ResponseMatcher(own_id, ATTEMPT_ID, may_lack_id=_is_not_executed)


def _is_not_executed(headers: Headers) -> bool:
    return header(headers, NOT_EXECUTED) is not None


def _check_answer(answer: BackendAnswer) -> Refusal | None:
    if _is_not_executed(answer.headers):
        detail = f"the target answered {answer.status} and did not run the request"
        reason = Reason.UNREACHABLE if answer.status == 421 else Reason.SHED
        return Refusal(Verdict.NOT_RUN, reason, TARGET_FULL_RETRY_AFTER_MS, detail)
    is_success = 200 <= answer.status < 300
    if is_success and header(answer.headers, RESPONSE_SEAL) is None:
        return _backend_failed("the target's answer lacks the Response-Seal header")
    if is_success and header(answer.headers, CONTENT_ENCODING) is not None:
        # Clients ask for no encoding and take encoded bytes for another body.
        return _backend_failed("the target's answer has a Content-Encoding header")
    if answer.status in _NOT_RUN_STATUSES:
        return _backend_failed(
            f"the target answered {answer.status} without the Not-Executed header"
        )
    return None


def _read_announcement(answer: BackendAnswer) -> Announcement:
    return Announcement(
        rate_per_s=_read_rate(header(answer.headers, SERVER_LIMIT)),
        is_leaving=header(answer.headers, SERVER_LEAVING) == b"1",
        slowdown_pct=_read_slowdown(header(answer.headers, SERVER_LOAD)),
    )


def _read_rate(value: bytes | None) -> float | None:
    """Return the rate in a header field; one that can't be read announces nothing."""
    if value is None or not _RATE.fullmatch(value):
        return None
    return float(value)


def _read_slowdown(value: bytes | None) -> int | None:
    """Return the fourth figure of ``Server-Load``, or ``None`` without a valid one."""
    match = _SERVER_LOAD.fullmatch(value) if value is not None else None
    return int(match[1]) if match else None


def _backend_failed(detail: str) -> Refusal:
    return Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED, 0, detail)


def _not_run(reason: Reason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Verdict.NOT_RUN, reason, 0, detail))
