"""Derives the outcome of a request from the response to one of its copies."""

from returns.result import Failure, Result, Success

from ..http.message import Response, header
from ..verdict import Reason, Refusal
from .answer import Answer
from .key_record import KeyRecord
from .response_parser import parse_response
from .submission import FENCE_FIELD


def fence_from(response: Response) -> str:
    """Return the fence in ``response``, or ``""`` when there is none."""
    return (header(response.headers, FENCE_FIELD) or b"").decode("latin-1")


def record_response(
    response: Response, record: KeyRecord, may_have_run_before: bool
) -> Result[Answer, Refusal]:
    """Update ``record`` with ``response`` and return the answer or refusal.

    Its verdict covers all copies. ``may_have_run_before`` is true if a copy sent
    before this one may have run.
    """
    record.store_fence(fence_from(response))
    result = parse_response(response)
    if isinstance(result, Success):
        answer = result.unwrap()
        # An answer comes from a target, like a ``SHED`` refusal, so its verdict can
        # cover all copies.
        verdict = record.record_verdict(
            answer.verdict, Reason.SHED, may_have_run_before=may_have_run_before
        )
        return Success(answer._replace(verdict=verdict))
    refusal = result.failure()
    verdict = record.record_verdict(
        refusal.verdict, refusal.reason, may_have_run_before=may_have_run_before
    )
    return Failure(refusal._replace(verdict=verdict))
