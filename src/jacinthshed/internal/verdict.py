"""Verdicts on whether a request has run, and reasons for refusals."""

from enum import StrEnum
from typing import NamedTuple


class Verdict(StrEnum):
    """Whether a request may have run at a backend server.

    ``NOT_RUN`` is given only with proof: nothing was sent, or the target has promised
    that the request will never run.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(StrEnum):
    """Why a request was refused."""

    SHED = "shed"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    FENCE_EXPIRED = "fence-expired"
    FENCE_INCARNATION = "fence-incarnation"
    UNPROVEN = "unproven"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    MALFORMED = "malformed"
    KEY_REQUIRED = "key-required"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_KEY = "unknown-key"
    STALE_POLICY = "stale-policy"
    USAGE_LIMIT = "usage-limit"
    TOO_LARGE = "too-large"
    RETRY_LIMIT = "retry-limit"
    NO_BUNDLE = "no-bundle"
    NO_TARGET = "no-target"
    UNREACHABLE = "unreachable"
    BACKEND_FAILED = "backend-failed"
    CRASHED = "crashed"


HTTP_STATUS: dict[Reason, int] = {
    Reason.SHED: 503,
    Reason.LEAVING: 503,
    Reason.DEADLINE: 504,
    Reason.FENCE_EXPIRED: 409,
    Reason.FENCE_INCARNATION: 409,
    Reason.UNPROVEN: 409,
    Reason.CANCELLED: 409,
    Reason.QUARANTINED: 422,
    Reason.MALFORMED: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.STALE_POLICY: 503,
    Reason.USAGE_LIMIT: 429,
    Reason.TOO_LARGE: 413,
    Reason.RETRY_LIMIT: 503,
    Reason.NO_BUNDLE: 503,
    Reason.NO_TARGET: 503,
    Reason.UNREACHABLE: 503,
    Reason.BACKEND_FAILED: 502,
    Reason.CRASHED: 502,
}


class Refusal(NamedTuple):
    """A refusal as it is returned to a caller.

    ``retry_after_ms`` is the wait in milliseconds before a resend makes sense, or 0
    when the caller isn't asked to wait. ``detail`` is a sentence for people and may be
    empty.
    """

    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""
