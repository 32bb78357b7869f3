"""Distinguishes responses of backend servers from refusals of nodes."""

import msgspec
from returns.result import Failure, Result, Success

from ..http.message import PROBLEM_JSON, Response, header
from ..http.problem import REQUEST_FIELD, VERDICT_FIELD
from ..verdict import Reason, Refusal, Verdict
from .answer import Answer

_FIRST_SERVER_ERROR_STATUS = 500


class _Problem(msgspec.Struct):
    """The members of a problem document that describe a refusal."""

    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""


def parse_response(response: Response) -> Result[Answer, Refusal]:
    """Return the answer of a backend server, or the refusal of a node."""
    refusal = _refusal(response)
    if refusal is not None:
        return Failure(refusal)
    request_id = header(response.headers, REQUEST_FIELD) or b""
    return Success(
        Answer(
            response.status,
            response.headers,
            response.body,
            _verdict(response),
            request_id.decode("latin-1"),
        )
    )


def _refusal(response: Response) -> Refusal | None:
    if header(response.headers, b"content-type") != PROBLEM_JSON:
        return None
    if header(response.headers, VERDICT_FIELD) is None:
        return None
    try:
        problem = msgspec.json.decode(response.body, type=_Problem)
    except msgspec.MsgspecError:
        return None
    return Refusal(
        problem.verdict, problem.reason, problem.retry_after_ms, problem.detail
    )


def _verdict(response: Response) -> Verdict:
    value = header(response.headers, VERDICT_FIELD)
    if value is not None and value.decode("latin-1") in list(Verdict):
        return Verdict(value.decode("latin-1"))
    if response.status < _FIRST_SERVER_ERROR_STATUS:
        return Verdict.RAN
    # Without the field, the error may have occurred before, during or after the run.
    return Verdict.MAY_HAVE_RUN
