"""Classification of exchanges with the backend server: verdicts and outcomes."""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from ..admission.outcome import Outcome
from ..http.problem import VERDICT_FIELD
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Header

OVERLOAD_STATUS = 503
GATEWAY_STATUSES = frozenset({502, 504})
BACKEND_RETRY_AFTER_MS = 250


class BackendAnswer(NamedTuple):
    """A complete answer of the backend server."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class FailureCause(Enum):
    """Why an exchange with the backend server ended without a complete answer."""

    BROKEN = auto()
    CRASHED = auto()
    TIMED_OUT = auto()
    ABORTED = auto()


class BackendFailure(NamedTuple):
    """An exchange that ended without a complete answer.

    ``sent`` is true once the first byte was passed to the connection.
    """

    sent: bool
    cause: FailureCause
    detail: str


BackendResult = BackendAnswer | BackendFailure

_FAILURE_OUTCOMES = {
    FailureCause.BROKEN: Outcome.FAILED,
    FailureCause.CRASHED: Outcome.FAILED,
    FailureCause.TIMED_OUT: Outcome.TIMED_OUT,
    FailureCause.ABORTED: Outcome.CANCELLED,
}


AnswerCheck = Callable[[BackendAnswer], Refusal | None]
"""Returns the refusal that a complete answer amounts to, or ``None`` to forward it."""


def refusal_from_answer(result: BackendAnswer) -> Refusal | None:
    """Return the refusal that ``result`` amounts to, or ``None`` to forward it.

    A 503, 502 or 504 without a valid verdict header does not prove that the request did
    not run: the server may have started it and failed in a downstream call.
    """
    if result.status != OVERLOAD_STATUS and result.status not in GATEWAY_STATUSES:
        return None
    verdict = _stated_verdict(result)
    if verdict is Verdict.RAN:
        return None
    reason = Reason.SHED if result.status == OVERLOAD_STATUS else Reason.BACKEND_FAILED
    return Refusal(
        verdict,
        reason,
        BACKEND_RETRY_AFTER_MS,
        f"the backend server answered {result.status}",
    )


def admission_outcome(result: BackendResult) -> Outcome:
    """Return the outcome of ``result`` for the adaptive concurrency limit."""
    if isinstance(result, BackendFailure):
        return _FAILURE_OUTCOMES[result.cause]
    if result.status == OVERLOAD_STATUS:
        return Outcome.REFUSED
    return Outcome.OK


def refusal_from_failure(failure: BackendFailure) -> Refusal:
    """Return the refusal for an exchange without a complete answer."""
    if not failure.sent:
        return Refusal(
            Verdict.NOT_RUN, Reason.UNREACHABLE, BACKEND_RETRY_AFTER_MS, failure.detail
        )
    timed_out = failure.cause is FailureCause.TIMED_OUT
    reason = Reason.DEADLINE if timed_out else Reason.BACKEND_FAILED
    return Refusal(Verdict.MAY_HAVE_RUN, reason, BACKEND_RETRY_AFTER_MS, failure.detail)


def _stated_verdict(answer: BackendAnswer) -> Verdict:
    for name, value in answer.headers:
        if name == VERDICT_FIELD:
            return _parse_verdict(value)
    return Verdict.MAY_HAVE_RUN


def _parse_verdict(value: bytes) -> Verdict:
    try:
        return Verdict(value.decode("ascii").strip().lower())
    except ValueError:
        return Verdict.MAY_HAVE_RUN
