"""Handling of further copies of a request at its target."""

from ..fence.decisions import Accepted, Answered, Join
from ..fence.instant import Instant
from ..fence.registry import FenceRegistry
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Submit
from .actions import Send, TargetAction
from .job import Job, Waiter
from .job_table import JobTable, add_waiter
from .replies import refusal_reply, reply_to_waiter

DUPLICATE_ID = Refusal(
    Verdict.NOT_RUN,
    Reason.MALFORMED,
    detail="a request with this id is in progress; give each attempt an id of its own",
)

_JOB_IS_GONE = Refusal(
    Verdict.MAY_HAVE_RUN,
    Reason.BACKEND_FAILED,
    0,
    "the request with this key is no longer being processed",
)


def join_by_id(
    known: Job, link: int, submit: Submit, fingerprint: int
) -> list[TargetAction]:
    """Let ``submit`` wait for the reply to ``known``, which has the same request id.

    Another request with that id is refused: the answer belongs to ``known`` only.
    """
    if fingerprint != known.fingerprint:
        return [_refusal_to(link, submit, DUPLICATE_ID)]
    add_waiter(known, link, submit)
    return []


def handle_copy(
    fence_registry: FenceRegistry,
    jobs: JobTable,
    at: Instant,
    link: int,
    submit: Submit,
    crash_fingerprint: int,
) -> list[TargetAction] | None:
    """Return the actions for a copy of a known request, or ``None`` if it may run."""
    decision = fence_registry.submit(
        at, submit.key, submit.fence, submit.request_id, fingerprint=crash_fingerprint
    )
    if isinstance(decision, Accepted):
        return None
    if isinstance(decision, Join):
        job = jobs.by_key(submit.key)
        if job is not None:
            add_waiter(job, link, submit)
            return []
        return [_refusal_to(link, submit, _JOB_IS_GONE)]
    if isinstance(decision, Answered):
        waiter = Waiter(link, submit.request_id, submit.allowance)
        return [Send(link, reply_to_waiter(decision.reply, waiter, 0))]
    return [_refusal_to(link, submit, decision.refusal)]


def _refusal_to(link: int, submit: Submit, refusal: Refusal) -> Send:
    reply = refusal_reply(submit.request_id, refusal)
    return Send(link, reply._replace(allowance=submit.allowance))
