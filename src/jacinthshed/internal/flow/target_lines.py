"""Log lines of a target's decisions."""

from ..admission.admission import Admission
from ..telemetry.log import LogDecision
from ..verdict import Refusal
from ..wire.frames import Reply, Submit

# Answers from this status on are written with all lines of their attempt.
FAILED_STATUS = 500


class TargetLines:
    """Writes what became of each attempt, and what decided it."""

    def __init__(self, *, admission: Admission, log: LogDecision) -> None:
        self._admission = admission
        self._log = log

    def admitted(
        self, outcome: str, submit: Submit, refusal: Refusal | None = None
    ) -> None:
        """Note that an attempt started, waits or is refused."""
        admission = self._admission
        fields: dict[str, object] = {}
        if refusal is not None:
            # Nothing follows on this attempt, so that its lines are due now.
            fields = {"detail": refusal.detail, "failed": True}
        self._log(
            "admission",
            **_identity(submit),
            rank=submit.rank,
            outcome=outcome,
            reason="" if refusal is None else refusal.reason,
            running=admission.in_flight,
            waiting=admission.waiting,
            limit=admission.limit,
            left_ms=submit.deadline_ms,
            policy_version=submit.bundle_version,
            **fields,
        )

    def ended(self, submit: Submit, reply: Reply, elapsed_ms: float) -> None:
        """Note the end of an exchange with the backend server."""
        self._log(
            "attempt_ended",
            **_identity(submit),
            target_id=submit.target_id,
            status=reply.status,
            verdict=reply.verdict,
            reason=reply.reason,
            detail=reply.detail,
            elapsed_ms=round(elapsed_ms, 1),
            failed=not reply.status or reply.status >= FAILED_STATUS,
        )


def _identity(submit: Submit) -> dict[str, str]:
    return {
        "request_id": submit.request_id.rpartition(".")[0],
        "attempt_id": submit.request_id,
        "route": submit.route,
    }
