"""Cancelling of a fenced request at its target."""

from typing import NamedTuple

from ..fence.decisions import Answered, Cancelled, Rejected
from ..fence.instant import Instant
from ..fence.registry import FenceRegistry
from ..verdict import Refusal
from ..wire.frames import Cancel
from .actions import Send, TargetAction
from .job import Job, Waiter
from .replies import refusal_reply


class FencedCancel(NamedTuple):
    """The reply to a cancel, if it is known, and the refusal of the queued request."""

    actions: list[TargetAction]
    refusal: Refusal | None = None


def cancel_fenced(
    fence_registry: FenceRegistry,
    job: Job | None,
    at: Instant,
    link: int,
    cancel: Cancel,
) -> FencedCancel:
    """Cancel a fenced request; one that was dispatched is not stopped.

    The sender of the cancel then waits for the reply to ``job``.
    """
    outcome = fence_registry.cancel(at, cancel.key, cancel.fence)
    if isinstance(outcome, Cancelled):
        reply = refusal_reply(cancel.request_id, outcome.refusal)
        refusal = outcome.refusal if outcome.request_id else None
        return FencedCancel([Send(link, reply)], refusal)
    if isinstance(outcome, Answered):
        reply = outcome.reply._replace(request_id=cancel.request_id)
        return FencedCancel([Send(link, reply)])
    if isinstance(outcome, Rejected):
        reply = refusal_reply(cancel.request_id, outcome.refusal)
        return FencedCancel([Send(link, reply)])
    if job is not None:
        job.waiters.append(Waiter(link, cancel.request_id, 0))
    return FencedCancel([])
