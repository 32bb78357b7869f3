"""The target's decisions: from an attempt's arrival to its reply."""

from collections.abc import Callable

from ..admission.decision import Decision, Start
from ..admission.outcome import Outcome
from ..admission.shed_level import ShedLevel
from ..admission.work import Work
from ..fence.decisions import Answered, Cancelled, Rejected
from ..fence.instant import Instant
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Cancel, Reply, Revoke, Submit
from .actions import Abort, Dispatch, Send, TargetAction
from .backend_outcome import AnswerCheck, BackendResult, admission_outcome
from .conclusion import conclude
from .context import parent_context
from .fenced_copy import remembered
from .job import Job, Waiter
from .job_table import JobTable, join
from .replies import addressed, refusal_reply
from .request_fingerprint import request_fingerprint
from .target_lines import TargetLines
from .target_state import TargetState


class Target:
    """All requests at one backend server, and the decisions about them.

    Every method that takes a moment ``at`` returns what has to be done at that moment.
    ``fold_level`` combines this target's shed level with those of the services that a
    route calls. ``list_age_ms`` is the time since a target of this service joined or
    left. ``check_answer`` returns what an answer of the backend server proves. ``log``
    takes an event name and its fields.
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
        self._lines = TargetLines(admission=self._admission, log=log)
        self._jobs = JobTable()

    def renew(self, incarnation: int) -> None:
        """Go on under a higher incarnation."""
        self._incarnation = incarnation

    @property
    def job_count(self) -> int:
        """How many requests are queued or running."""
        return len(self._jobs)

    def submit(self, at: Instant, link: int, submit: Submit) -> list[TargetAction]:
        """Take an attempt that arrived on ``link``."""
        if known := self._jobs.by_request(submit.request_id):
            join(known, link, submit)
            return []
        mark = request_fingerprint(submit)
        if submit.fence:
            # The registry comes before every other check, as a copy of a request that
            # is running has to find it even when new work is refused.
            copy = remembered(self._fences, self._jobs, at, link, submit, mark)
            if copy is not None:
                return copy
        refusal = self._check.refusal(at, submit, mark)
        if refusal is not None:
            return [self._refuse_arrival(at, link, submit, refusal)]
        return self._admit(at, link, submit, mark)

    def backend_done(
        self, at: Instant, ticket: int, result: BackendResult
    ) -> list[TargetAction]:
        """Take the end of an exchange with the backend server."""
        job = self._jobs.get(ticket)
        if job is None:
            return []
        reply = conclude(
            at,
            job,
            result,
            fence_registry=self._fences,
            suspects=self._suspects,
            check_answer=self._check_answer,
        )
        self._lines.ended(job.submit, reply, job.held_ms(at.now_ms))
        decisions = self._finish(at, job, admission_outcome(result))
        actions = self._reply_all(at, job, reply)
        return actions + self._apply(at, decisions)

    def backend_crashed(self, at: Instant, tickets: list[int]) -> None:
        """Suspect the requests that were running when the backend server died.

        Each of their exchanges notices the same death; only the first counts it.
        """
        jobs = [job for ticket in tickets if (job := self._jobs.get(ticket))]
        fresh = [job for job in jobs if job.running and not job.accused]
        if not fresh:
            return
        for job in fresh:
            job.accused = True
        marks = [job.fingerprint for job in fresh]
        self._suspects.crashed(at.now_ms, self._host, self._incarnation, marks)

    def running_tickets(self) -> list[int]:
        """Return the tickets that the backend server has in hand."""
        return [job.ticket for job in self._jobs.running()]

    def cancel(self, at: Instant, link: int, cancel: Cancel) -> list[TargetAction]:
        """Take back an attempt, where it has not begun."""
        if cancel.fence:
            return self._cancel_fenced(at, link, cancel)
        job = self._jobs.by_request(cancel.request_id)
        return [] if job is None else self._abandon(at, job, link)

    def revoke(self, at: Instant, link: int, revoke: Revoke) -> list[TargetAction]:
        """Tell whether a key ran here and forbid older fences for it."""
        list_age_ms = self._list_age_ms(at)
        return [Send(link, self._fences.revoke(at, revoke, list_age_ms=list_age_ms))]

    def link_closed(self, at: Instant, link: int) -> list[TargetAction]:
        """Stop work that is idempotent and that nobody waits for any more."""
        actions: list[TargetAction] = []
        for job in self._jobs.waiting_on(link):
            actions += self._abandon(at, job, link)
        return actions

    def expire(self, at: Instant) -> list[TargetAction]:
        """Refuse queued work whose deadline has passed."""
        return self._apply(at, self._admission.expire(at.now_ms))

    def apply_decisions(
        self, at: Instant, decisions: list[Decision]
    ) -> list[TargetAction]:
        """Carry out what followed from new sizes of the admission."""
        return self._apply(at, decisions)

    def next_expiry_ms(self) -> float | None:
        """Return when ``expire`` has work to do next, or ``None``."""
        return self._admission.next_expiry_ms()

    def _admit(
        self, at: Instant, link: int, submit: Submit, mark: int
    ) -> list[TargetAction]:
        job = Job(
            ticket=self._jobs.next_ticket(),
            submit=submit,
            fingerprint=mark,
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
            self._lines.admitted("queued", submit)
        return self._apply(at, decisions)

    def _apply(self, at: Instant, decisions: list[Decision]) -> list[TargetAction]:
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
        """Return why ``job`` doesn't start, or ``None`` when it does."""
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
        self._lines.admitted("started", submit)
        if submit.fence:
            self._fences.mark_dispatched(submit.key)
        self._suspects.started(job.fingerprint)
        self._ledger.open(submit.request_id, submit.allowance)
        self._contexts.open(parent_context(submit, job.deadline_at_ms))
        return Dispatch(job.ticket, submit, job.deadline_at_ms - at.now_ms)

    def _finish(self, at: Instant, job: Job, outcome: Outcome) -> list[Decision]:
        nested_ms = self._nested.pop_total_ms(at.now_ms, job.submit.request_id)
        return self._admission.finish(
            at.now_ms, job.ticket, job.held_ms(at.now_ms), outcome, nested_ms
        )

    def _reply_all(self, at: Instant, job: Job, reply: Reply) -> list[TargetAction]:
        """End the job and send its reply to everybody who waits for it."""
        submit = job.submit
        self._jobs.remove(job)
        calls_done = self._contexts.close(submit.request_id)
        unused = submit.allowance
        if job.running:
            unused = self._ledger.close(submit.request_id)
        own_level = self._admission.level(at.now_ms)
        level = self._fold_level(at, submit.route, own_level)
        reply = reply._replace(
            calls_done=calls_done,
            load=self._admission.load,
            shed_rank=level.rank,
            shed_hash=level.root_hash,
        )
        return [
            Send(waiter.link, addressed(reply, waiter, unused))
            for waiter in job.waiters
        ]

    def _refuse_job(
        self, at: Instant, job: Job, refusal: Refusal
    ) -> list[TargetAction]:
        submit = job.submit
        self._lines.admitted("refused", submit, refusal)
        if submit.fence:
            refusal = self._fences.refuse(at, submit.key, submit.fence, refusal)
        return self._reply_all(at, job, refusal_reply(submit.request_id, refusal))

    def _refuse_arrival(
        self, at: Instant, link: int, submit: Submit, refusal: Refusal
    ) -> Send:
        self._lines.admitted("refused", submit, refusal)
        if submit.fence:
            refusal = self._fences.refuse(at, submit.key, submit.fence, refusal)
        reply = refusal_reply(submit.request_id, refusal)
        return Send(link, reply._replace(allowance=submit.allowance))

    def _cancel_fenced(
        self, at: Instant, link: int, cancel: Cancel
    ) -> list[TargetAction]:
        job = self._jobs.by_key(cancel.key)
        outcome = self._fences.cancel(at, cancel.key, cancel.fence)
        if isinstance(outcome, Cancelled):
            reply = refusal_reply(cancel.request_id, outcome.refusal)
            actions: list[TargetAction] = [Send(link, reply)]
            if outcome.request_id and job is not None:
                self._admission.withdraw(at.now_ms, job.ticket)
                reply = refusal_reply(job.submit.request_id, outcome.refusal)
                actions += self._reply_all(at, job, reply)
            return actions
        if isinstance(outcome, Answered):
            reply = outcome.reply._replace(request_id=cancel.request_id)
            return [Send(link, reply)]
        if isinstance(outcome, Rejected):
            return [Send(link, refusal_reply(cancel.request_id, outcome.refusal))]
        if job is not None:
            job.waiters.append(Waiter(link, cancel.request_id, 0))
        return []

    def _abandon(self, at: Instant, job: Job, link: int) -> list[TargetAction]:
        job.waiters = [waiter for waiter in job.waiters if waiter.link != link]
        if job.waiters or job.submit.fence:
            # A fenced request goes on: its answer is what a later copy will join.
            return []
        if job.running:
            return [Abort(job.ticket)]
        self._admission.withdraw(at.now_ms, job.ticket)
        self._jobs.remove(job)
        return []
