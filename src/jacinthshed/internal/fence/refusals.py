"""Refusals of fenced requests."""

from ..verdict import Reason, Refusal, Verdict

RETRY_AFTER_MS = 1_000


def may_have_run(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal that doesn't say whether the key ran."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, retry_after_ms, detail)


def not_run(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal of a fence that is, or becomes, a tombstone."""
    return Refusal(Verdict.NOT_RUN, reason, retry_after_ms, detail)


MALFORMED = may_have_run(
    Reason.MALFORMED, "the fence is malformed; send it as it was given"
)
KEY_REUSED = may_have_run(
    Reason.MALFORMED,
    "this key was used for a different request; use a new key for each request",
)
OTHER_INCARNATION = may_have_run(
    Reason.FENCE_INCARNATION,
    "the fence names another incarnation of the target; resend without a fence",
)
EXPIRED = may_have_run(
    Reason.FENCE_EXPIRED, "the fence has expired; resend without a fence"
)
MINTED_IN_FUTURE = may_have_run(
    Reason.FENCE_EXPIRED,
    "the fence was minted in the future; check the clocks of this host and its minter",
)
SUPERSEDED = may_have_run(
    Reason.FENCE_EXPIRED, "a later resend revoked the fence; resend without a fence"
)
KEY_PREDATES_INCARNATION = may_have_run(
    Reason.FENCE_INCARNATION,
    "the key may be older than this incarnation of the target; resend without a fence",
)
BACKEND_FAILED = may_have_run(
    Reason.BACKEND_FAILED, "the backend server failed while it ran this key"
)
ANSWER_DROPPED = Refusal(
    Verdict.RAN,
    Reason.FENCE_EXPIRED,
    0,
    "the key has run; its answer is no longer stored",
)
CANCELLED = not_run(Reason.CANCELLED, "cancelled before it started")
SAME_KEY_IN_PROGRESS = not_run(
    Reason.CANCELLED,
    "another fence of the same key was already queued or running; that one applies",
)
TABLE_FULL = not_run(
    Reason.SHED,
    "the table of keys is full; try again",
    retry_after_ms=RETRY_AFTER_MS,
)
BELOW_HORIZON = not_run(
    Reason.SHED,
    "the target dropped its records of fences this old; try again with a new fence",
    retry_after_ms=RETRY_AFTER_MS,
)
