"""A target: admission and the slots of its backend server."""

from jacinthshed.internal.admission import (
    Admission,
    Outcome,
    Start,
    Work,
    stricter,
)
from jacinthshed.internal.bundle.model import AdmissionPolicy

from .fifo import Fifo
from .model import Attempt, Hop, Reply

NO_DEADLINE_MS = 1e12
NESTED_CALL_FAILED = "below"


class Job:
    """An attempt that waits or runs at a target.

    ``nested_ms`` is the time of its nested call, ``calls_done`` how many calls in it
    succeeded.
    """

    __slots__ = ("attempt", "calls_done", "nested_ms", "started_ms")

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.started_ms = 0.0
        self.nested_ms = 0.0
        self.calls_done = 0


class Target:
    """One host: its backend server, and the admission decisions of its node."""

    def __init__(self, world, name: str, service: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.node = world.new_node(name, zone)
        self._jobs: dict[int, Job] = {}
        self._tickets = 0
        self._expiry_ms: float | None = None
        self._admission = _new_admission(world, service)

    @property
    def reachable(self) -> bool:
        """Whether messages reach the target now; not while its zone is cut off."""
        case = self.world.case
        is_active = case.start_ms <= self.world.clock.now_ms < case.end_ms
        gone = case.zone_gone and self.zone == self.world.deployment.zones[0]
        return not (gone and is_active)

    def receive(self, attempt: Attempt) -> None:
        """Offer one attempt to admission; drop it when the target is cut off."""
        if not self.reachable:
            return
        self._tickets += 1
        ticket = self._tickets
        self._jobs[ticket] = Job(attempt)
        hop, stack = attempt.hop, self.world.stack
        work = Work(
            ticket,
            hop.root.rank,
            hop.invested if stack.invested else 0,
            self.world.hash_of(hop.root),
            hop.deadline_at_ms if stack.queue_deadlines else NO_DEADLINE_MS,
        )
        self.node.ledger.open(attempt.id, attempt.allowance)
        if not hop.is_last and self.node.is_shed(hop, hop.nested_route):
            self._reply(self._jobs.pop(ticket), False, "level")
            return
        self._apply(self._admission.offer(self.world.clock.now_ms, work, hop.route))

    def _apply(self, decisions) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(decision.ticket)
            else:
                self._reply(self._jobs.pop(decision.ticket), False, decision.reason)
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        next_ms = self._admission.next_expiry_ms()
        if next_ms is not None and next_ms != self._expiry_ms:
            self._expiry_ms = next_ms
            delay_ms = max(0.0, next_ms - self.world.clock.now_ms)
            self.world.clock.after(delay_ms, self._expire)

    def _expire(self) -> None:
        self._expiry_ms = None
        self._apply(self._admission.expire(self.world.clock.now_ms))

    def _start(self, ticket: int) -> None:
        job = self._jobs[ticket]
        job.started_ms = self.world.clock.now_ms
        own_ms = self.world.own_ms(self.service)
        job.attempt.hop.root.work_ms += own_ms
        job.attempt.hop.started = True
        self.world.clock.after(own_ms, self._after_own_work, ticket)

    def _after_own_work(self, ticket: int) -> None:
        job = self._jobs[ticket]
        hop = job.attempt.hop
        if hop.is_last:
            self._finish(ticket, True, "")
            return
        called_ms = self.world.clock.now_ms

        def done(ok: bool, reason: str, calls_done: int) -> None:
            job.nested_ms = self.world.clock.now_ms - called_ms
            job.calls_done = calls_done
            self._finish(ticket, ok, reason)

        invested = hop.invested + 1
        nested = Hop(
            hop.root,
            hop.depth + 1,
            job.attempt.id,
            invested,
            hop.deadline_at_ms,
            done,
        )
        self.node.call(nested)

    def _finish(self, ticket: int, ok: bool, reason: str) -> None:
        job = self._jobs.pop(ticket)
        now_ms = self.world.clock.now_ms
        outcome = Outcome.OK if ok else Outcome.FAILED
        latency_ms = now_ms - job.started_ms
        decisions = self._admission.finish(
            now_ms, ticket, latency_ms, outcome, job.nested_ms
        )
        self._reply(job, ok, NESTED_CALL_FAILED if reason else "")
        self._apply(decisions)

    def _reply(self, job: Job, ok: bool, reason: str) -> None:
        if not self.reachable:
            return
        now_ms = self.world.clock.now_ms
        hop = job.attempt.hop
        level = self._admission.level(now_ms)
        if not hop.is_last:
            nested_level = self.node.levels.strictest(now_ms, (hop.nested_route,))
            level = stricter(level, nested_level)
        reply = Reply(
            ok,
            str(reason),
            self.node.ledger.close(job.attempt.id),
            job.calls_done + ok,
            self._admission.load,
            level,
        )
        job.attempt.reply(self.name, reply)


def _new_admission(world, service: str) -> Admission | Fifo:
    slots = world.deployment.services[service].slots
    stack = world.stack
    queue = int(slots * stack.queue_factor)
    if not stack.admission:
        return Fifo(slots=slots, queue=queue)
    policy = AdmissionPolicy(min_limit=1 if stack.adaptive else slots)
    return Admission(slots=slots, queue=queue, policy=policy)
