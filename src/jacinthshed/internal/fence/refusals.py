"""The refusals that fences end in."""

from ..verdict import Reason, Refusal, Verdict

RETRY_AFTER_MS = 1_000


def may_have_run(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal that leaves open whether the key ran."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, retry_after_ms, detail)


def not_run(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal of a fence that is, or becomes, a tombstone."""
    return Refusal(Verdict.NOT_RUN, reason, retry_after_ms, detail)


MALFORMED = may_have_run(Reason.MALFORMED, "send the fence as it was given")
OTHER_REQUEST = may_have_run(
    Reason.MALFORMED, "this key belongs to another request; use a key of its own"
)
OTHER_INCARNATION = may_have_run(
    Reason.FENCE_INCARNATION,
    "the fence names another incarnation; resend without a fence",
)
EXPIRED = may_have_run(
    Reason.FENCE_EXPIRED, "the fence has expired; resend without a fence"
)
EARLY = may_have_run(
    Reason.FENCE_EXPIRED,
    "the fence is from the future; check this host's clock and its minter's",
)
SUPERSEDED = may_have_run(
    Reason.FENCE_EXPIRED, "a later resend revoked the fence; resend without a fence"
)
OLDER_KEY = may_have_run(
    Reason.FENCE_INCARNATION,
    "the key is older than this incarnation; resend without a fence",
)
BACKEND_FAILED = may_have_run(
    Reason.BACKEND_FAILED, "the backend server failed while it ran this key"
)
ANSWER_DROPPED = Refusal(
    Verdict.RAN, Reason.FENCE_EXPIRED, 0, "the key has run; its answer is not held"
)
CANCELLED = not_run(Reason.CANCELLED, "cancelled before it started")
MERGED = not_run(
    Reason.CANCELLED, "another fence of the same key was in hand; that one counts"
)
MEMORY_FULL = not_run(
    Reason.SHED,
    "no room to remember a further key; try again",
    retry_after_ms=RETRY_AFTER_MS,
)
BELOW_HORIZON = not_run(
    Reason.SHED,
    "refused with the older fences of this target; try again with a new fence",
    retry_after_ms=RETRY_AFTER_MS,
)
