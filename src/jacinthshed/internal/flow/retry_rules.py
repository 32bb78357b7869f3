"""Rules on which refusals are retried, and the refusals for failed attempts."""

from ..verdict import Reason, Refusal, Verdict
from .steps import Event, LinkFailed, Replied, Stopped

NO_TARGET_RETRY_AFTER_MS = 500
UNREACHABLE_RETRY_AFTER_MS = 500
STOPPED_RETRY_AFTER_MS = 100

NO_TARGET = Refusal(
    Verdict.NOT_RUN,
    Reason.NO_TARGET,
    NO_TARGET_RETRY_AFTER_MS,
    "no target of the service is reachable",
)

FAILED_ANSWER = Refusal(
    Verdict.MAY_HAVE_RUN,
    Reason.BACKEND_FAILED,
    NO_TARGET_RETRY_AFTER_MS,
    "the backend server answered with a failure",
)

_RETRYABLE = frozenset(
    {
        Reason.SHED,
        Reason.LEAVING,
        Reason.NO_BUNDLE,
        Reason.UNREACHABLE,
        Reason.BACKEND_FAILED,
    }
)
_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.RAN: 1, Verdict.MAY_HAVE_RUN: 2}


def is_retryable(refusal: Refusal) -> bool:
    """Return whether another target may succeed after this refusal."""
    return refusal.reason in _RETRYABLE


def refusal_from_event(event: Event) -> Refusal:
    """Return the refusal for an attempt that got no intact reply."""
    if isinstance(event, LinkFailed):
        verdict = Verdict.MAY_HAVE_RUN if event.sent else Verdict.NOT_RUN
        detail = "the link to the target failed"
        return Refusal(verdict, Reason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_MS, detail)
    if isinstance(event, Stopped):
        verdict = Verdict.MAY_HAVE_RUN if event.sent else Verdict.NOT_RUN
        detail = "the entry node stops"
        return Refusal(verdict, Reason.LEAVING, STOPPED_RETRY_AFTER_MS, detail)
    if isinstance(event, Replied):
        detail = "the reply was corrupted in transit: its checksum does not match"
        return Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.BACKEND_FAILED,
            UNREACHABLE_RETRY_AFTER_MS,
            detail,
        )
    return Refusal(Verdict.MAY_HAVE_RUN, Reason.DEADLINE)


def worst_verdict(first: Verdict, second: Verdict) -> Verdict:
    """Return the verdict on a request whose two attempts got these verdicts.

    It is the later one in the order ``NOT_RUN``, ``RAN``, ``MAY_HAVE_RUN``.
    """
    return max(first, second, key=_SEVERITY.__getitem__)
