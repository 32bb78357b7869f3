"""The target's decisions: from an attempt's arrival to its reply."""

import itertools
from collections.abc import Callable, Iterable

from ..admission.admission import Admission
from ..admission.decision import Decision, Start
from ..admission.outcome import Outcome
from ..admission.work import Work
from ..fence.memo import Answered, Dead, FenceMemo, Join, Run
from ..quarantine.fingerprint import fingerprint
from ..quarantine.suspects import Quarantined, RunAlone, Suspects
from ..retry.allowance import AllowanceLedger
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Cancel, Reply, Revoke, Revoked, Submit
from .actions import Abort, Dispatch, Send, TargetAction
from .backend_outcome import (
    BackendAnswer,
    BackendFailure,
    BackendResult,
    FailureCause,
    admission_outcome,
    refusal_from,
)
from .context import ContextRegistry, ParentContext
from .job import Job, Waiter
from .replies import answer_reply, refusal_reply

ALONE_RETRY_AFTER_MS = 100
LEAVING_RETRY_AFTER_MS = 50


class Target:
    """All requests at one backend server, and the decisions about them.

    Every method takes the monotonic time ``now_ms`` and, where fences are concerned,
    the wall-clock time ``wall_ms``; every method returns what has to be done.
    ``is_declared`` tells whether a route of the bundle in force is idempotent, or
    ``None`` when it has no such route.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        admission: Admission,
        memo: FenceMemo,
        suspects: Suspects,
        ledger: AllowanceLedger,
        contexts: ContextRegistry,
        is_idempotent: Callable[[str], bool | None],
        skew_ms: Callable[[], int],
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._admission = admission
        self._memo = memo
        self._suspects = suspects
        self._ledger = ledger
        self._contexts = contexts
        self._is_idempotent = is_idempotent
        self._skew_ms = skew_ms
        self._tickets = itertools.count(1)
        self._jobs: dict[int, Job] = {}
        self._by_request: dict[str, Job] = {}
        self._by_key: dict[str, Job] = {}
        self._nested_ms: dict[str, float] = {}
        self._refusing = False

    @property
    def jobs(self) -> int:
        """How many requests are queued or running."""
        return len(self._jobs)

    @property
    def running(self) -> int:
        """How many requests the backend server has in hand."""
        return sum(job.running for job in self._jobs.values())

    def refuse_new_work(self) -> None:
        """Refuse all new work from now on; work in hand goes on."""
        self._refusing = True

    def submit(
        self, now_ms: float, wall_ms: int, link: int, submit: Submit
    ) -> list[TargetAction]:
        """Take an attempt that arrived on ``link``."""
        idempotent = self._is_idempotent(submit.route)
        if submit.request_id in self._by_request:
            return self._join(self._by_request[submit.request_id], link, submit)
        if submit.fence:
            # The memo comes before every other check, as a copy of a request that
            # is running has to find it even when new work is refused.
            remembered = self._remembered(wall_ms, link, submit)
            if remembered is not None:
                return remembered
        refusal = self._refusal(now_ms, wall_ms, submit, idempotent)
        if refusal is not None:
            return self._refuse_arrival(wall_ms, link, submit, refusal)
        return self._admit(now_ms, wall_ms, link, submit)

    def backend_done(
        self, now_ms: float, wall_ms: int, ticket: int, result: BackendResult
    ) -> list[TargetAction]:
        """Take the end of an exchange with the backend server."""
        job = self._jobs.get(ticket)
        if job is None:
            return []
        reply = self._conclude(now_ms, wall_ms, job, result)
        decisions = self._finish(now_ms, job, admission_outcome(result))
        actions = self._reply_all(now_ms, job, reply)
        return actions + self._apply(now_ms, wall_ms, decisions)

    def backend_crashed(self, now_ms: float, tickets: Iterable[int]) -> None:
        """Suspect the requests that were running when the backend server died."""
        jobs = [self._jobs[ticket] for ticket in tickets if ticket in self._jobs]
        running = [job.fingerprint for job in jobs if job.running]
        self._suspects.crashed(now_ms, self._host, self._incarnation, running)

    def running_tickets(self) -> list[int]:
        """Return the tickets that the backend server has in hand."""
        return [ticket for ticket, job in self._jobs.items() if job.running]

    def cancel(
        self, now_ms: float, wall_ms: int, link: int, cancel: Cancel
    ) -> list[TargetAction]:
        """Take back an attempt, where it has not begun."""
        if cancel.fence:
            return self._cancel_fenced(now_ms, wall_ms, link, cancel)
        job = self._by_request.get(cancel.request_id)
        if job is None:
            return []
        return self._abandon(now_ms, wall_ms, job, link)

    def revoke(self, wall_ms: int, link: int, revoke: Revoke) -> list[TargetAction]:
        """Tell whether a key ran here and forbid older fences for it."""
        revoked: Revoked = self._memo.revoke(
            wall_ms, revoke.request_id, revoke.key, revoke.ballot
        )
        return [Send(link, revoked)]

    def link_closed(
        self, now_ms: float, wall_ms: int, link: int
    ) -> list[TargetAction]:
        """Stop work that is idempotent and that nobody waits for any more."""
        actions: list[TargetAction] = []
        for job in list(self._jobs.values()):
            if any(waiter.link == link for waiter in job.waiters):
                actions += self._abandon(now_ms, wall_ms, job, link)
        return actions

    def expire(self, now_ms: float, wall_ms: int) -> list[TargetAction]:
        """Refuse queued work whose deadline has passed."""
        return self._apply(now_ms, wall_ms, self._admission.expire(now_ms))

    def next_expiry_ms(self) -> float | None:
        """Return when ``expire`` has work to do next, or ``None``."""
        return self._admission.next_expiry_ms()

    def add_nested_ms(self, request_id: str, nested_ms: float) -> None:
        """Count time that a running request spent in calls below it."""
        if request_id in self._by_request:
            spent = self._nested_ms.get(request_id, 0.0)
            self._nested_ms[request_id] = spent + nested_ms

    def _remembered(
        self, wall_ms: int, link: int, submit: Submit
    ) -> list[TargetAction] | None:
        outcome = self._memo.submit(
            wall_ms, submit.key, submit.fence, submit.request_id
        )
        if isinstance(outcome, Run):
            return None
        if isinstance(outcome, Join) and submit.key in self._by_key:
            return self._join(self._by_key[submit.key], link, submit)
        if isinstance(outcome, Answered):
            return [Send(link, _for_waiter(outcome.reply, link, submit))]
        refusal = outcome.refusal if isinstance(outcome, Dead) else _LOST_TRACK
        return [self._refusal_to(link, submit, refusal)]

    def _refusal(
        self, now_ms: float, wall_ms: int, submit: Submit, idempotent: bool | None
    ) -> Refusal | None:
        if idempotent is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_ROUTE, 0, submit.route)
        if not idempotent and not submit.fence:
            detail = "the target's bundle makes this route non-idempotent: send a fence"
            return Refusal(Verdict.NOT_RUN, Reason.KEY_REQUIRED, 0, detail)
        if self._refusing:
            return Refusal(Verdict.NOT_RUN, Reason.LEAVING, LEAVING_RETRY_AFTER_MS)
        if self._is_late(wall_ms, submit):
            return Refusal(Verdict.NOT_RUN, Reason.DEADLINE)
        return self._suspicion(now_ms, fingerprint(submit.route, submit.body))

    def _is_late(self, wall_ms: int, submit: Submit) -> bool:
        late_ms = wall_ms - submit.deadline_wall_ms
        return submit.deadline_ms <= 0 or late_ms > self._skew_ms()

    def _suspicion(self, now_ms: float, suspect: int) -> Refusal | None:
        check = self._suspects.check(now_ms, suspect)
        if isinstance(check, Quarantined):
            return Refusal(Verdict.NOT_RUN, Reason.QUARANTINED, check.retry_after_ms)
        if isinstance(check, RunAlone) and any(j.alone for j in self._jobs.values()):
            detail = "another request that may crash the server is running"
            return Refusal(
                Verdict.NOT_RUN, Reason.SHED, ALONE_RETRY_AFTER_MS, detail
            )
        return None

    def _admit(
        self, now_ms: float, wall_ms: int, link: int, submit: Submit
    ) -> list[TargetAction]:
        mark = fingerprint(submit.route, submit.body)
        job = Job(
            ticket=next(self._tickets),
            submit=submit,
            fingerprint=mark,
            deadline_at_ms=now_ms + submit.deadline_ms,
            alone=isinstance(self._suspects.check(now_ms, mark), RunAlone),
            link=link,
        )
        self._remember(job)
        work = Work(
            ticket=job.ticket,
            rank=submit.rank,
            invested=submit.invested,
            root_hash=submit.root_hash,
            deadline_at_ms=job.deadline_at_ms,
        )
        decisions = self._admission.offer(now_ms, work, submit.route)
        return self._apply(now_ms, wall_ms, decisions)

    def _apply(
        self, now_ms: float, wall_ms: int, decisions: list[Decision]
    ) -> list[TargetAction]:
        actions: list[TargetAction] = []
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            job = self._jobs.get(decision.ticket)
            if job is None:
                continue
            if not isinstance(decision, Start):
                refusal = Refusal(
                    Verdict.NOT_RUN, decision.reason, decision.retry_after_ms
                )
                actions += self._refuse_job(now_ms, wall_ms, job, refusal)
                continue
            late = self._too_late_to_start(now_ms, wall_ms, job)
            if late is None:
                actions.append(self._start(now_ms, job))
                continue
            actions += self._refuse_job(now_ms, wall_ms, job, late)
            pending += self._admission.finish(
                now_ms, job.ticket, 0.0, Outcome.CANCELLED
            )
        return actions

    def _too_late_to_start(
        self, now_ms: float, wall_ms: int, job: Job
    ) -> Refusal | None:
        submit = job.submit
        if now_ms >= job.deadline_at_ms or self._is_late(wall_ms, submit):
            return Refusal(Verdict.NOT_RUN, Reason.DEADLINE)
        if submit.fence and not self._memo.may_dispatch(
            wall_ms, submit.key, submit.fence
        ):
            return Refusal(Verdict.NOT_RUN, Reason.FENCE_EXPIRED)
        return None

    def _start(self, now_ms: float, job: Job) -> Dispatch:
        submit = job.submit
        job.started_at_ms = now_ms
        if submit.fence:
            self._memo.dispatched(submit.key)
        self._suspects.started(now_ms, job.fingerprint)
        self._ledger.open(submit.request_id, submit.allowance)
        self._contexts.open(
            ParentContext(
                request_id=submit.request_id,
                root_id=submit.root_id,
                root_hash=submit.root_hash,
                rank=submit.rank,
                route=submit.route,
                idempotent=not submit.fence,
                deadline_at_ms=job.deadline_at_ms,
                invested=submit.invested,
                key=submit.key,
            )
        )
        return Dispatch(job.ticket, submit, job.deadline_at_ms - now_ms)

    def _conclude(
        self, now_ms: float, wall_ms: int, job: Job, result: BackendResult
    ) -> Reply:
        submit = job.submit
        refusal = self._refusal_from(result, job.fingerprint)
        if refusal is None:
            assert isinstance(result, BackendAnswer)
            reply = answer_reply(
                submit.request_id,
                status=result.status,
                headers=result.headers,
                body=result.body,
            )
            self._suspects.succeeded(now_ms, job.fingerprint)
            if submit.fence:
                self._memo.answered(wall_ms, submit.key, reply)
            return reply
        if submit.fence and refusal.verdict is Verdict.NOT_RUN:
            self._memo.refused(wall_ms, submit.key, submit.fence, refusal)
        elif submit.fence:
            self._memo.failed(wall_ms, submit.key)
        return refusal_reply(submit.request_id, refusal)

    def _refusal_from(self, result: BackendResult, mark: int) -> Refusal | None:
        refusal = refusal_from(result)
        if refusal is None or not isinstance(result, BackendFailure):
            return refusal
        crashed = result.cause is FailureCause.CRASHED
        if crashed and not self._suspects.may_retry(mark):
            return refusal._replace(reason=Reason.CRASHED)
        return refusal

    def _finish(self, now_ms: float, job: Job, outcome: Outcome) -> list[Decision]:
        started_at_ms = job.started_at_ms if job.started_at_ms is not None else now_ms
        nested_ms = self._nested_ms.get(job.submit.request_id, 0.0)
        return self._admission.finish(
            now_ms, job.ticket, now_ms - started_at_ms, outcome, nested_ms
        )

    def _reply_all(self, now_ms: float, job: Job, reply: Reply) -> list[TargetAction]:
        """End the job and send its reply to everybody who waits for it."""
        request_id = job.submit.request_id
        started = job.running
        self._forget(job)
        calls_done = self._contexts.close(request_id)
        unused = self._ledger.close(request_id) if started else job.submit.allowance
        level = self._admission.level(now_ms)
        reply = reply._replace(
            calls_done=calls_done,
            load=self._admission.load,
            shed_rank=level.rank,
            shed_hash=level.root_hash,
        )
        return [
            Send(waiter.link, _addressed(reply, waiter, unused))
            for waiter in job.waiters
        ]

    def _refuse_job(
        self, now_ms: float, wall_ms: int, job: Job, refusal: Refusal
    ) -> list[TargetAction]:
        submit = job.submit
        if submit.fence:
            self._memo.refused(wall_ms, submit.key, submit.fence, refusal)
        return self._reply_all(
            now_ms, job, refusal_reply(submit.request_id, refusal)
        )

    def _refuse_arrival(
        self, wall_ms: int, link: int, submit: Submit, refusal: Refusal
    ) -> list[TargetAction]:
        if submit.fence:
            self._memo.refused(wall_ms, submit.key, submit.fence, refusal)
        return [self._refusal_to(link, submit, refusal)]

    def _refusal_to(self, link: int, submit: Submit, refusal: Refusal) -> Send:
        reply = refusal_reply(submit.request_id, refusal)
        return Send(link, reply._replace(allowance=submit.allowance))

    def _cancel_fenced(
        self, now_ms: float, wall_ms: int, link: int, cancel: Cancel
    ) -> list[TargetAction]:
        job = self._by_key.get(cancel.key)
        if job is not None and not job.running and job.submit.fence == cancel.fence:
            self._admission.withdraw(now_ms, job.ticket)
            refusal = Refusal(Verdict.NOT_RUN, Reason.CANCELLED)
            return self._refuse_job(now_ms, wall_ms, job, refusal)
        outcome = self._memo.cancel(wall_ms, cancel.key, cancel.fence)
        if isinstance(outcome, Answered):
            reply = outcome.reply._replace(request_id=cancel.request_id, allowance=0)
            return [Send(link, reply)]
        if isinstance(outcome, Dead):
            return [Send(link, refusal_reply(cancel.request_id, outcome.refusal))]
        if job is not None:
            job.waiters.append(Waiter(link, cancel.request_id, 0))
        return []

    def _abandon(
        self, now_ms: float, wall_ms: int, job: Job, link: int
    ) -> list[TargetAction]:
        job.waiters = [waiter for waiter in job.waiters if waiter.link != link]
        if job.waiters or job.submit.fence:
            # A fenced request goes on: its answer is what a later copy will join.
            return []
        if job.running:
            return [Abort(job.ticket)]
        self._admission.withdraw(now_ms, job.ticket)
        self._forget(job)
        return []

    def _join(self, job: Job, link: int, submit: Submit) -> list[TargetAction]:
        waiter = Waiter(link, submit.request_id, submit.allowance)
        known = {(other.link, other.request_id) for other in job.waiters}
        if (link, submit.request_id) not in known:
            job.waiters.append(waiter)
        return []

    def _remember(self, job: Job) -> None:
        self._jobs[job.ticket] = job
        self._by_request[job.submit.request_id] = job
        if job.submit.fence:
            self._by_key[job.submit.key] = job

    def _forget(self, job: Job) -> None:
        submit = job.submit
        self._jobs.pop(job.ticket, None)
        self._by_request.pop(submit.request_id, None)
        self._nested_ms.pop(submit.request_id, None)
        if submit.fence:
            self._by_key.pop(submit.key, None)


_LOST_TRACK = Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED)


def _for_waiter(reply: Reply, link: int, submit: Submit) -> Reply:
    waiter = Waiter(link, submit.request_id, submit.allowance)
    return _addressed(reply, waiter, 0)


def _addressed(reply: Reply, waiter: Waiter, unused: int) -> Reply:
    allowance = unused if waiter.own_allowance is None else waiter.own_allowance
    return reply._replace(request_id=waiter.request_id, allowance=allowance)
