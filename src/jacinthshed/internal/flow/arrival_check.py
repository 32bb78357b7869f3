"""Checks that may refuse an attempt before admission control sees it."""

from collections.abc import Callable

from ..fence.instant import Instant
from ..quarantine.decisions import Quarantined, RunAlone
from ..quarantine.suspects import Suspects
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Submit
from .policy import Policy

RUN_ALONE_RETRY_AFTER_MS = 100
LEAVING_RETRY_AFTER_MS = 50
# Other nodes learn only from refusals, or from the platform's list, that a target has
# announced its leave.
ANNOUNCED_LEAVE_RETRY_AFTER_MS = 1_000
UNREACHABLE_RETRY_AFTER_MS = 500
NO_BUNDLE_RETRY_AFTER_MS = 500


class ArrivalCheck:
    """Checks arriving attempts against the bundle, deadlines and crash suspects.

    ``shed_below_ms`` returns the wait, in milliseconds, if a route that the request
    will call would shed it, so that no slot is spent on it here; otherwise ``None``.
    """

    def __init__(
        self,
        *,
        policy: Callable[[], Policy | None],
        suspects: Suspects,
        shed_below_ms: Callable[[Instant, Submit], int | None],
    ) -> None:
        self._policy = policy
        self._suspects = suspects
        self._shed_below_ms = shed_below_ms
        self._refuses_new_work = False
        self._leaving_target_id = ""
        self._target_started_ms = 0
        self.backend_is_up = True
        self.target_is_leaving = False
        self.is_known_to_service = False

    def refuse_new_work(self) -> None:
        """Refuse all new work from now on."""
        self._refuses_new_work = True

    def target_announced_leave(self, target_id: str) -> bool:
        """Refuse new work for ``target_id``; return whether it announced that first."""
        is_first = target_id != self._leaving_target_id
        self._leaving_target_id = target_id
        return is_first

    def target_listed(self, *, started_ms: int, is_leaving: bool) -> None:
        """Record what the platform lists about the target beside this node.

        A target that started again, maybe under its old id, has not announced a leave.
        """
        self.target_is_leaving = is_leaving
        if started_ms > self._target_started_ms:
            self._target_started_ms = started_ms
            self._leaving_target_id = ""

    def refusal(self, at: Instant, submit: Submit, fingerprint: int) -> Refusal | None:
        """Return why the attempt is refused, or ``None``."""
        refusal = self._policy_refusal(submit)
        if refusal is not None:
            return refusal
        if submit.fence and not self.is_known_to_service:
            # No other target lists this one yet, so a revocation would not query it.
            detail = "the target has not yet connected to another target of its service"
            return _refuse(Reason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_MS, detail)
        if self._refuses_new_work or self.target_is_leaving:
            return _refuse(Reason.LEAVING, LEAVING_RETRY_AFTER_MS)
        if submit.target_id and submit.target_id == self._leaving_target_id:
            detail = "the backend server has announced that it leaves"
            return _refuse(Reason.LEAVING, ANNOUNCED_LEAVE_RETRY_AFTER_MS, detail)
        if not self.backend_is_up:
            detail = "the backend server does not accept connections"
            return _refuse(Reason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_MS, detail)
        if submit.deadline_ms <= 0 or self.is_late(at, submit):
            return _refuse(Reason.DEADLINE, 0)
        return self._crash_refusal(at, fingerprint) or self._shed_refusal(at, submit)

    def _policy_refusal(self, submit: Submit) -> Refusal | None:
        policy = self._policy()
        if policy is None:
            detail = "the target's node has not loaded a bundle yet"
            return _refuse(Reason.NO_BUNDLE, NO_BUNDLE_RETRY_AFTER_MS, detail)
        if not policy.bundle.fence.required:
            # Where no fence is required, only the entry node decides on retries, by
            # its own bundle.
            return None
        idempotent = policy.is_idempotent(submit.route)
        if idempotent is None:
            detail = "the target's bundle does not contain this route"
            return _refuse(Reason.NO_BUNDLE, NO_BUNDLE_RETRY_AFTER_MS, detail)
        if not idempotent and not submit.fence:
            detail = (
                "the request has no fence, but the target's bundle declares its route "
                "non-idempotent"
            )
            return _refuse(Reason.KEY_REQUIRED, 0, detail)
        return None

    def is_late(self, at: Instant, submit: Submit) -> bool:
        """Return whether the wall clock is past the deadline by more than the skew."""
        policy = self._policy()
        skew_ms = policy.bundle.fence.skew_ms if policy else 0
        return at.wall_ms - submit.deadline_wall_ms > skew_ms

    def _crash_refusal(self, at: Instant, fingerprint: int) -> Refusal | None:
        check = self._suspects.check(at.now_ms, fingerprint)
        if isinstance(check, Quarantined):
            return _refuse(Reason.QUARANTINED, check.retry_after_ms)
        if isinstance(check, RunAlone) and check.busy:
            detail = "another request suspected of crashing the server is running"
            return _refuse(Reason.SHED, RUN_ALONE_RETRY_AFTER_MS, detail)
        return None

    def _shed_refusal(self, at: Instant, submit: Submit) -> Refusal | None:
        wait_ms = self._shed_below_ms(at, submit)
        return (
            None
            if wait_ms is None
            else _refuse(Reason.SHED, wait_ms, "shed downstream")
        )


def _refuse(reason: Reason, retry_after_ms: int, detail: str = "") -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, retry_after_ms, detail)
