"""Processing of the result of an exchange with the backend server."""

from ..fence.instant import Instant
from ..fence.registry import FenceRegistry
from ..quarantine.suspects import Suspects
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Reply
from .backend_outcome import (
    AnswerCheck,
    BackendAnswer,
    BackendFailure,
    BackendResult,
    FailureCause,
    refusal_from_failure,
)
from .job import Job
from .replies import answer_reply, refusal_reply


def record_result(
    at: Instant,
    job: Job,
    result: BackendResult,
    *,
    fence_registry: FenceRegistry,
    suspects: Suspects,
    check_answer: AnswerCheck,
) -> Reply:
    """Store the result of a dispatched request and return the reply to it.

    The result is stored in ``suspects`` and, for a request with a fence, in
    ``fence_registry``.
    """
    submit = job.submit
    refusal = _refusal(result, job.fingerprint, suspects, check_answer)
    if refusal is None:
        assert isinstance(result, BackendAnswer)
        reply = answer_reply(submit.request_id, result)
        suspects.succeeded(at.now_ms, job.fingerprint)
        if submit.fence:
            fence_registry.record_reply(at, submit.key, reply)
        return reply
    if not job.crash_reported:
        suspects.stopped(job.fingerprint)
    if submit.fence and refusal.verdict is Verdict.NOT_RUN:
        refusal = fence_registry.refuse(at, submit.key, submit.fence, refusal)
    elif submit.fence:
        fence_registry.record_failure(at, submit.key)
    return refusal_reply(submit.request_id, refusal)


def _refusal(
    result: BackendResult,
    fingerprint: int,
    suspects: Suspects,
    check_answer: AnswerCheck,
) -> Refusal | None:
    if not isinstance(result, BackendFailure):
        return check_answer(result)
    refusal = refusal_from_failure(result)
    crashed = result.cause is FailureCause.CRASHED
    if crashed and not suspects.may_retry(fingerprint):
        return refusal._replace(reason=Reason.CRASHED)
    return refusal
