"""Tells answers of backend servers from refusals of the system."""

import msgspec
from returns.result import Failure, Result, Success

from ..http.message import PROBLEM_JSON, Response, header
from ..http.problem import REQUEST_FIELD, VERDICT_FIELD
from ..verdict import Reason, Refusal, Verdict
from .answer import Answer

_FIRST_ERROR_OF_SERVER = 500


class _Problem(msgspec.Struct):
    """The members of a problem document that a refusal has."""

    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""


def read_response(response: Response) -> Result[Answer, Refusal]:
    """Return what ``response`` says."""
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
    if response.status < _FIRST_ERROR_OF_SERVER:
        return Verdict.RAN
    # Without the field, an error may have come before, during or after the work.
    return Verdict.MAY_HAVE_RUN
