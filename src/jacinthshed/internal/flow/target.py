"""Decisions of a target, from the arrival of an attempt to its reply."""

from collections.abc import Callable

from ..admission.decision import Decision, Start
from ..admission.outcome import Outcome
from ..admission.shed_level import ShedLevel
from ..admission.work import Work
from ..fence.instant import Instant
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Cancel, Reply, Revoke, Submit, Withdraw
from .actions import Abort, Dispatch, Send, TargetAction
from .backend_outcome import AnswerCheck, BackendResult, admission_outcome
from .cancellation import cancel_fenced
from .context import parent_context
from .copies import handle_copy, join_by_id
from .exchange_result import record_result
from .job import Job
from .job_table import JobTable
from .replies import WITHDRAWN, refusal_reply, reply_to_waiter
from .request_fingerprint import request_fingerprint
from .target_log import TargetLog
from .target_state import TargetState


class Target:
    """All requests at one backend server, and the decisions on them.

    Methods do no I/O: they return the actions to carry out at ``at``. ``fold_level``
    combines this target's shed level with those of the services that a route calls.
    ``list_age_ms`` is the time since a target of this service joined or left.
    ``check_answer`` gives the refusal in an answer; ``log`` takes an event and fields.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        state: TargetState,
        fold_level: Callable[[Instant, str, ShedLevel], ShedLevel],
        list_age_ms: Callable[[Instant], float],
        check_answer: AnswerCheck,
        log: Callable[..., None],
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        (
            self._admission,
            self._fences,
            self._suspects,
            self._ledger,
            self._contexts,
            self._nested,
            self._check,
        ) = state
        self._fold_level = fold_level
        self._list_age_ms = list_age_ms
        self._check_answer = check_answer
        self._target_log = TargetLog(admission=self._admission, log=log)
        self._jobs = JobTable()

    def renew(self, incarnation: int) -> None:
        """Set a new, higher incarnation."""
        self._incarnation = incarnation

    @property
    def job_count(self) -> int:
        """Number of requests that are queued or running."""
        return len(self._jobs)

    def submit(self, at: Instant, link: int, submit: Submit) -> list[TargetAction]:
        """Process an attempt that arrived on ``link``."""
        fingerprint = request_fingerprint(submit)
        if known := self._jobs.by_request(submit.request_id):
            return join_by_id(known, link, submit, fingerprint)
        if submit.fence:
            # The registry is checked first: a copy of a running request has to join it
            # even while new work is refused.
            copy = handle_copy(self._fences, self._jobs, at, link, submit, fingerprint)
            if copy is not None:
                return copy
        refusal = self._check.refusal(at, submit, fingerprint)
        if refusal is not None:
            return [self._refuse_arrival(at, link, submit, refusal)]
        return self._admit(at, link, submit, fingerprint)

    def backend_done(
        self, at: Instant, ticket: int, result: BackendResult
    ) -> list[TargetAction]:
        """Process the end of an exchange with the backend server."""
        job = self._jobs.get(ticket)
        if job is None:
            return []
        reply = record_result(
            at,
            job,
            result,
            fence_registry=self._fences,
            suspects=self._suspects,
            check_answer=self._check_answer,
        )
        self._target_log.log_end(job.submit, reply, job.running_ms(at.now_ms))
        decisions = self._finish_work(at, job, admission_outcome(result))
        actions = self._reply_all(at, job, reply)
        return actions + self.apply_decisions(at, decisions)

    def backend_crashed(self, at: Instant, tickets: list[int]) -> None:
        """Report the requests that were running when the backend server crashed.

        Each of their exchanges detects the same crash; a request is reported once.
        """
        jobs = [job for ticket in tickets if (job := self._jobs.get(ticket))]
        unreported = [job for job in jobs if job.running and not job.crash_reported]
        if not unreported:
            return
        for job in unreported:
            job.crash_reported = True
        fingerprints = [job.fingerprint for job in unreported]
        self._suspects.crashed(at.now_ms, self._host, self._incarnation, fingerprints)

    def running_tickets(self) -> list[int]:
        """Return the tickets of the requests that were sent to the backend server."""
        return [job.ticket for job in self._jobs.running()]

    def cancel(self, at: Instant, link: int, cancel: Cancel) -> list[TargetAction]:
        """Cancel an attempt; a fenced request that was dispatched is not stopped."""
        if cancel.fence:
            return self._cancel_fenced(at, link, cancel)
        job = self._jobs.by_request(cancel.request_id)
        return [] if job is None else self._abandon(at, job, link)

    def withdraw(
        self, at: Instant, link: int, withdraw: Withdraw
    ) -> list[TargetAction]:
        """Refuse an attempt that is queued, if only the sender waits for it."""
        job = self._jobs.by_request(withdraw.request_id)
        if job is None or any(waiter.link != link for waiter in job.waiters):
            return []
        if not self._admission.withdraw(at.now_ms, job.ticket):
            return []
        return self._refuse_job(at, job, WITHDRAWN)

    def drain(self, at: Instant) -> list[TargetAction]:
        """Refuse all queued requests and all later ones; others run on."""
        return self.apply_decisions(at, self._admission.drain(at.now_ms))

    def revoke(self, at: Instant, link: int, revoke: Revoke) -> list[TargetAction]:
        """Reply whether a key ran here, and reject older fences for it from now on."""
        list_age_ms = self._list_age_ms(at)
        return [Send(link, self._fences.revoke(at, revoke, list_age_ms=list_age_ms))]

    def link_closed(self, at: Instant, link: int) -> list[TargetAction]:
        """Stop the unfenced requests whose only waiters were on the closed link."""
        actions: list[TargetAction] = []
        for job in self._jobs.waiting_on(link):
            actions += self._abandon(at, job, link)
        return actions

    def expire(self, at: Instant) -> list[TargetAction]:
        """Refuse queued requests at their deadline, and start those that are due."""
        return self.apply_decisions(at, self._admission.advance(at.now_ms))

    def next_expiry_ms(self) -> float | None:
        """Return the monotonic time at which ``expire`` is due next, or ``None``."""
        return self._admission.next_advance_ms()

    def _admit(
        self, at: Instant, link: int, submit: Submit, crash_fingerprint: int
    ) -> list[TargetAction]:
        job = Job(
            ticket=self._jobs.next_ticket(),
            submit=submit,
            fingerprint=crash_fingerprint,
            deadline_at_ms=at.now_ms + submit.deadline_ms,
            link=link,
        )
        self._jobs.add(job)
        work = Work(
            ticket=job.ticket,
            rank=submit.rank,
            invested=submit.invested,
            root_hash=submit.root_hash,
            deadline_at_ms=job.deadline_at_ms,
        )
        decisions = self._admission.offer(at.now_ms, work, submit.route)
        if not any(decision.ticket == job.ticket for decision in decisions):
            self._target_log.log_admission("queued", submit)
        return self.apply_decisions(at, decisions)

    def apply_decisions(
        self, at: Instant, decisions: list[Decision]
    ) -> list[TargetAction]:
        """Start or refuse the requests that admission control decided on."""
        actions: list[TargetAction] = []
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            job = self._jobs.get(decision.ticket)
            if job is None:
                continue
            refusal = self._refusal_for(at, decision, job)
            if refusal is None:
                actions.append(self._start(at, job))
                continue
            actions += self._refuse_job(at, job, refusal)
            if isinstance(decision, Start):
                pending += self._admission.finish(
                    at.now_ms, job.ticket, 0.0, Outcome.CANCELLED
                )
        return actions

    def _refusal_for(self, at: Instant, decision: Decision, job: Job) -> Refusal | None:
        """Return why ``job`` does not start, or ``None`` if it does."""
        if not isinstance(decision, Start):
            return Refusal(Verdict.NOT_RUN, decision.reason, decision.retry_after_ms)
        submit = job.submit
        if at.now_ms >= job.deadline_at_ms or self._check.is_late(at, submit):
            return Refusal(Verdict.NOT_RUN, Reason.DEADLINE)
        if submit.fence and not self._fences.may_dispatch(at, submit.key, submit.fence):
            return Refusal(Verdict.NOT_RUN, Reason.FENCE_EXPIRED)
        return None

    def _start(self, at: Instant, job: Job) -> Dispatch:
        submit = job.submit
        job.started_at_ms = at.now_ms
        self._target_log.log_admission("started", submit)
        if submit.fence:
            self._fences.mark_dispatched(submit.key)
        self._suspects.started(job.fingerprint)
        self._ledger.open(submit.request_id, submit.allowance)
        self._contexts.open(parent_context(submit, job.deadline_at_ms))
        return Dispatch(job.ticket, submit, job.deadline_at_ms - at.now_ms)

    def _finish_work(self, at: Instant, job: Job, outcome: Outcome) -> list[Decision]:
        nested_ms = self._nested.pop_total_ms(at.now_ms, job.submit.request_id)
        return self._admission.finish(
            at.now_ms, job.ticket, job.running_ms(at.now_ms), outcome, nested_ms
        )

    def _reply_all(self, at: Instant, job: Job, reply: Reply) -> list[TargetAction]:
        """Remove the job and return its reply, addressed to each of its waiters."""
        submit = job.submit
        self._jobs.remove(job)
        calls_done = self._contexts.close(submit.request_id)
        unused = submit.allowance
        if job.running:
            unused = self._ledger.close(submit.request_id)
        level = self._fold_level(at, submit.route, self._admission.level(at.now_ms))
        reply = reply._replace(
            calls_done=calls_done,
            load=self._admission.load(at.now_ms),
            slowdown_pct=self._admission.slowdown.pct(at.now_ms),
            shed_rank=level.rank,
            shed_hash=level.root_hash,
        )
        return [
            Send(waiter.link, reply_to_waiter(reply, waiter, unused))
            for waiter in job.waiters
        ]

    def _refuse_job(
        self, at: Instant, job: Job, refusal: Refusal
    ) -> list[TargetAction]:
        submit = job.submit
        self._target_log.log_admission("refused", submit, refusal)
        if submit.fence:
            refusal = self._fences.refuse(at, submit.key, submit.fence, refusal)
        return self._reply_all(at, job, refusal_reply(submit.request_id, refusal))

    def _refuse_arrival(
        self, at: Instant, link: int, submit: Submit, refusal: Refusal
    ) -> Send:
        self._target_log.log_admission("refused", submit, refusal)
        if submit.fence:
            refusal = self._fences.refuse(at, submit.key, submit.fence, refusal)
        reply = refusal_reply(submit.request_id, refusal)
        return Send(link, reply._replace(allowance=submit.allowance))

    def _cancel_fenced(
        self, at: Instant, link: int, cancel: Cancel
    ) -> list[TargetAction]:
        job = self._jobs.by_key(cancel.key)
        actions, refusal = cancel_fenced(self._fences, job, at, link, cancel)
        if refusal is not None and job is not None:
            self._admission.withdraw(at.now_ms, job.ticket)
            reply = refusal_reply(job.submit.request_id, refusal)
            actions += self._reply_all(at, job, reply)
        return actions

    def _abandon(self, at: Instant, job: Job, link: int) -> list[TargetAction]:
        job.waiters = [waiter for waiter in job.waiters if waiter.link != link]
        if job.waiters or job.submit.fence:
            # A fenced request continues, as a later copy will need its answer.
            return []
        if job.running:
            return [Abort(job.ticket)]
        self._admission.withdraw(at.now_ms, job.ticket)
        self._jobs.remove(job)
        return []
