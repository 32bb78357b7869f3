"""Log entries for a target's decisions."""

from ..admission.admission import Admission
from ..telemetry.log import LogDecision
from ..verdict import Refusal
from ..wire.frames import Reply, Submit

# Answers with this status or a higher one count as failed: all entries of their
# attempts are logged.
FAILED_STATUS = 500


class TargetLog:
    """Logs the admission and the end of each attempt with the values behind them."""

    def __init__(self, *, admission: Admission, log: LogDecision) -> None:
        self._admission = admission
        self._log = log

    def log_admission(
        self, outcome: str, submit: Submit, refusal: Refusal | None = None
    ) -> None:
        """Log that an attempt was started, queued or refused."""
        admission = self._admission
        fields: dict[str, object] = {}
        if refusal is not None:
            # No further entry follows for this attempt, so its entries are written now.
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

    def log_end(self, submit: Submit, reply: Reply, elapsed_ms: float) -> None:
        """Log the end of an exchange with the backend server."""
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
