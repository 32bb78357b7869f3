"""What the response to one copy says about all copies of a request."""

from returns.result import Failure, Result, Success

from ..http.message import Response, header
from ..verdict import Reason, Refusal
from .answer import Answer
from .key_record import KeyRecord
from .reading import read_response
from .submission import FENCE_FIELD


def fence_of(response: Response) -> str:
    """Return the fence that ``response`` tells, empty when there is none."""
    return (header(response.headers, FENCE_FIELD) or b"").decode("latin-1")


def settle_response(
    response: Response, record: KeyRecord, may_have_run_before: bool
) -> Result[Answer, Refusal]:
    """Note what ``response`` says about the key and return it with that verdict.

    ``may_have_run_before`` is about the copies that were sent before this one.
    """
    record.learn_fence(fence_of(response))
    result = read_response(response)
    if isinstance(result, Success):
        answer = result.unwrap()
        # An answer comes from a target, as a refusal for load does.
        verdict = record.settle(
            answer.verdict, Reason.SHED, may_have_run_before=may_have_run_before
        )
        return Success(answer._replace(verdict=verdict))
    refusal = result.failure()
    verdict = record.settle(
        refusal.verdict, refusal.reason, may_have_run_before=may_have_run_before
    )
    return Failure(refusal._replace(verdict=verdict))
