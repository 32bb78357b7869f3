"""The HTTP adapter for the product's own headers, ``Jacinthshed-*``."""

from ..flow.announcements import Announcement
from ..flow.backend_outcome import refusal_from_answer
from ..flow.call_reader import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    FENCE_HEADER,
    SYSTEM_PREFIX,
    read_call,
    refusal_before_send,
)
from ..flow.steps import CallEnd
from ..http.matching import ResponseMatcher
from ..http.message import Header, Headers, Request, Response
from ..http.problem import REQUEST_FIELD, VERDICT_FIELD, refusal_response
from ..verdict import Refusal, Verdict
from ..wire.frames import Reply, Submit
from .http_adapter import HttpAdapter


def native_adapter() -> HttpAdapter:
    """Return the adapter for the HTTP interface in ``docs/interface.md``."""
    return HttpAdapter(
        request_id=_no_request_id,
        parent_id=lambda headers: "",
        read_call=read_call,
        refusal_before_send=refusal_before_send,
        refusal_response=_refusal_response,
        call_response=_call_response,
        backend_request=_backend_request,
        matcher=_matcher,
        check_answer=refusal_from_answer,
        read_announcement=lambda answer: Announcement(),
        is_failed=lambda reply: False,
    )


def _no_request_id(headers: Headers) -> str | None:
    return None


def _refusal_response(request_id: str, refusal: Refusal) -> Response:
    return refusal_response(refusal, request_id=request_id)


def _call_response(request_id: str, end: CallEnd) -> Response:
    if end.refusal is not None:
        response = _refusal_response(request_id, end.refusal)
    else:
        assert end.reply is not None
        response = _reply_response(request_id, end.reply)
    if not end.fence:
        return response
    headers = (*response.headers, (FENCE_HEADER, end.fence.encode()))
    return response._replace(headers=headers)


def _reply_response(request_id: str, reply: Reply) -> Response:
    headers = tuple(h for h in reply.headers if not h[0].startswith(SYSTEM_PREFIX))
    headers += (
        (VERDICT_FIELD, Verdict.RAN.encode()),
        (REQUEST_FIELD, request_id.encode()),
    )
    return Response(reply.status, headers, reply.body)


def _backend_request(submit: Submit, deadline_ms: float) -> Request:
    headers: tuple[Header, ...] = (
        *submit.headers,
        (CONTEXT_HEADER, submit.request_id.encode()),
        (DEADLINE_HEADER, str(int(deadline_ms)).encode()),
    )
    return Request(submit.method, submit.target, headers, submit.body)


def _matcher(submit: Submit) -> ResponseMatcher:
    # A server need not echo the header. Its connections are then used only once.
    own_id = submit.request_id.encode()
    return ResponseMatcher(own_id, CONTEXT_HEADER, may_lack_id=lambda headers: True)
