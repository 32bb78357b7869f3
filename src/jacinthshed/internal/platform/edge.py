"""How requests and answers are spelled on the platform."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from ..admission.work import hash_of_root
from ..bundle.route_match import RouteMatch
from ..edge.http_adapter import HttpAdapter
from ..fence.strategy import Unfenced
from ..flow.backend_outcome import BackendAnswer
from ..flow.call import Call
from ..flow.call_reader import HOST_HEADER, Arrival, ParsedCall
from ..flow.policy import Policy
from ..flow.steps import CallEnd
from ..http.exchange import ResponseMatcher
from ..http.message import PROBLEM_JSON, Header, Headers, Request, Response, header
from ..http.problem import problem_body
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Submit
from .headers import (
    ATTEMPT_ID,
    CALLER_SERVICE,
    DEADLINE_MS,
    NOT_EXECUTED,
    PIN_INSTANCE,
    RESPONSE_SEAL,
    RETRY_AFTER,
)

MAX_ID_BYTES = 128
MAX_DEADLINE_DIGITS = 9
# The wait that a caller is asked for after a target turned its request away.
TARGET_FULL_RETRY_AFTER_MS = 250

_MS_PER_S = 1_000
_FAILURE_STATUS = 500
# These statuses promise that the request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
_SET_HERE = frozenset({DEADLINE_MS, PIN_INSTANCE, CALLER_SERVICE})
_REFUSED_STATUS = {
    Reason.MALFORMED: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.TOO_LARGE: 413,
}


def platform_edge(service: str) -> HttpAdapter:
    """Return the edge of the node beside a target of ``service``."""
    return HttpAdapter(
        request_id=_request_id,
        parent_id=_parent_id,
        read_call=_call_reader(service),
        refusal_before_send=lambda headers, refusal: refusal,
        refusal_response=_refused,
        call_response=_answered,
        backend_request=_backend_request,
        accepts=_accepts,
        check_answer=_judge,
        is_failed=lambda reply: reply.status >= _FAILURE_STATUS,
    )


def _request_id(headers: Headers) -> str | None:
    given = header(headers, ATTEMPT_ID)
    if given is None or len(given) > MAX_ID_BYTES:
        return None
    return given.decode("latin-1")


def _parent_id(headers: Headers) -> str:
    """Return what goes before the last dot of the id.

    Targets have been seen to name their calls so. It is no promise: it counts only
    where a request of that id is running at the target beside the node.
    """
    given = header(headers, ATTEMPT_ID) or b""
    return given.rpartition(b".")[0].decode("latin-1")


def _call_reader(
    service: str,
) -> Callable[[Request, Arrival, Policy], Result[ParsedCall, Refusal]]:
    caller = (CALLER_SERVICE, service.encode())

    def read_call(
        request: Request, arrival: Arrival, policy: Policy
    ) -> Result[ParsedCall, Refusal]:
        if _request_id(request.headers) is None:
            detail = f"send an Attempt-Id of 1 to {MAX_ID_BYTES} bytes"
            return _refuse(Reason.MALFORMED, detail)
        host = header(request.headers, HOST_HEADER) or b""
        match = policy.routes.match(request.method, request.target, host)
        if match is None:
            return _refuse(Reason.UNKNOWN_ROUTE, "no route has this host and path")
        limit_ms = match.route.limit_ms
        given = header(request.headers, DEADLINE_MS)
        if given is not None:
            if not given.isdigit() or len(given) > MAX_DEADLINE_DIGITS:
                detail = "send Deadline-Ms as a whole number of milliseconds"
                return _refuse(Reason.MALFORMED, detail)
            limit_ms = min(limit_ms, int(given))
        headers = tuple(f for f in request.headers if f[0] not in _SET_HERE)
        call = _call(request, arrival, match, limit_ms, (*headers, caller))
        return Success(ParsedCall(call, Unfenced()))

    return read_call


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
        # A call keeps its root's rank, so that every layer sheds the same roots.
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


def _refused(request_id: str, refusal: Refusal) -> Response:
    status = _status(refusal)
    headers: list[Header] = [
        (b"content-type", PROBLEM_JSON),
        (ATTEMPT_ID, request_id.encode("latin-1", "replace")),
    ]
    if status in _PROMISES and refusal.retry_after_ms > 0:
        wait_s = refusal.retry_after_ms / _MS_PER_S
        headers.append((RETRY_AFTER, f"{wait_s:.3f}".encode()))
    return Response(status, tuple(headers), problem_body(refusal, status))


def _status(refusal: Refusal) -> int:
    """Return the status that says no more than what ``refusal`` proves."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _REFUSED_STATUS.get(refusal.reason, 503)
    return 504 if refusal.reason is Reason.DEADLINE else 502


def _answered(request_id: str, end: CallEnd) -> Response:
    if end.refusal is not None:
        return _refused(request_id, end.refusal)
    assert end.reply is not None
    return Response(end.reply.status, end.reply.headers, end.reply.body)


def _backend_request(submit: Submit, deadline_ms: float) -> Request:
    headers = (*submit.headers, (DEADLINE_MS, str(int(deadline_ms)).encode()))
    if submit.target_id:
        headers += ((PIN_INSTANCE, submit.target_id.encode()),)
    return Request(submit.method, submit.target, headers, submit.body)


def _accepts(submit: Submit) -> ResponseMatcher:
    own_id = header(submit.headers, ATTEMPT_ID)

    def accepts(headers: Headers) -> bool:
        echoed = header(headers, ATTEMPT_ID)
        # What was turned away before its id was read is answered without one.
        return echoed == own_id or (echoed is None and _says_not_run(headers))

    return accepts


def _says_not_run(headers: Headers) -> bool:
    return header(headers, NOT_EXECUTED) is not None


def _judge(answer: BackendAnswer) -> Refusal | None:
    if _says_not_run(answer.headers):
        detail = f"the target answered {answer.status} and did not run it"
        reason = Reason.UNREACHABLE if answer.status == 421 else Reason.SHED
        return Refusal(Verdict.NOT_RUN, reason, TARGET_FULL_RETRY_AFTER_MS, detail)
    is_success = 200 <= answer.status < 300
    if is_success and header(answer.headers, RESPONSE_SEAL) is None:
        return _broken("the target's answer has no receipt")
    if answer.status in _PROMISES:
        return _broken(f"the target answered {answer.status} without proof")
    return None


def _broken(detail: str) -> Refusal:
    return Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED, 0, detail)


def _refuse(reason: Reason, detail: str) -> Failure[Refusal]:
    return Failure(Refusal(Verdict.NOT_RUN, reason, 0, detail))
