"""Copies of a fenced request that its target remembers."""

from ..fence.decisions import Accepted, Answered, Join
from ..fence.instant import Instant
from ..fence.registry import FenceRegistry
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Submit
from .actions import Send, TargetAction
from .job import Waiter
from .job_table import JobTable, join
from .replies import addressed, refusal_reply

_NOT_IN_HAND = Refusal(
    Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED, 0, "the key is no longer in hand"
)


def remembered(
    fence_registry: FenceRegistry,
    jobs: JobTable,
    at: Instant,
    link: int,
    submit: Submit,
    mark: int,
) -> list[TargetAction] | None:
    """Return what follows for a copy, or ``None`` when the request may run."""
    decision = fence_registry.submit(
        at, submit.key, submit.fence, submit.request_id, fingerprint=mark
    )
    if isinstance(decision, Accepted):
        return None
    if isinstance(decision, Join):
        job = jobs.by_key(submit.key)
        if job is not None:
            join(job, link, submit)
            return []
        return [_refusal_to(link, submit, _NOT_IN_HAND)]
    if isinstance(decision, Answered):
        waiter = Waiter(link, submit.request_id, submit.allowance)
        return [Send(link, addressed(decision.reply, waiter, 0))]
    return [_refusal_to(link, submit, decision.refusal)]


def _refusal_to(link: int, submit: Submit, refusal: Refusal) -> Send:
    reply = refusal_reply(submit.request_id, refusal)
    return Send(link, reply._replace(allowance=submit.allowance))
