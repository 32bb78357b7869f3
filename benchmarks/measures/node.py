"""The calling side of a node: shed levels, retries and the choice of a target."""

from jacinthshed.internal.admission import ShedLevelTable
from jacinthshed.internal.bundle.model import AdmissionPolicy, RetryPolicy
from jacinthshed.internal.retry import AllowanceLedger, ResendLimiter

from .model import Attempt, Hop, Reply

HOP_BACKOFF_MS = 50.0
UNREACHABLE_AFTER_MS = 500.0
RECONNECT_INTERVAL_MS = 250.0
TIMEOUT = "timeout"


class Node:
    """Calls services for callers and for its own backend server."""

    def __init__(self, world, name: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.levels = ShedLevelTable(ttl_ms=AdmissionPolicy().level_ttl_ms)
        self.ledger = AllowanceLedger()
        self.resend_limiter = ResendLimiter(policy=RetryPolicy())
        self._in_flight: dict[str, int] = {}
        self._loads: dict[str, float] = {}
        self._unreachable: set[str] = set()

    def call(self, hop: Hop) -> None:
        """Make one call; ``hop.done`` is called with its verdict."""
        wait_ms = hop.deadline_at_ms - self.world.clock.now_ms
        if wait_ms <= 0:
            hop.done(False, TIMEOUT, 0)
            return
        self.world.clock.after(wait_ms, self._end_call, hop, False, TIMEOUT, 0)
        self._attempt(hop)

    def _attempt(self, hop: Hop) -> None:
        if not hop.open:
            return
        if self.is_shed(hop, hop.route):
            self._end_call(hop, False, "level", 0)
            return
        hop.attempts += 1
        attempt_id = self.world.new_id()
        allowance = self.ledger.split(
            hop.request_id, attempt_id, calls_others=not hop.is_last
        )
        self.world.count_attempt(hop)
        target = self._pick_target(hop)
        hop.tried.add(target.name)
        self._in_flight[target.name] = self._in_flight.get(target.name, 0) + 1
        attempt = Attempt(
            attempt_id, hop, allowance, self._reply_sender(hop, attempt_id)
        )
        self.world.send(self.zone, target.zone, target.receive, attempt)
        if self.world.case.zone_gone:
            self.world.clock.after(
                UNREACHABLE_AFTER_MS, self._check_link, hop, attempt_id, target
            )

    def is_shed(self, hop: Hop, route: str) -> bool:
        """Return whether all targets that serve ``route`` would shed the hop's root."""
        if not self.world.stack.levels:
            return False
        wait_ms = self.levels.refusal_wait_ms(
            self.world.clock.now_ms,
            (route,),
            hop.root.rank,
            self.world.hash_of(hop.root),
            self.world.random.random(),
        )
        return wait_ms is not None

    def _pick_target(self, hop: Hop):
        """Return the less loaded of two random targets, untried ones if possible."""
        all_targets = self.world.targets[hop.service]
        linked = [t for t in all_targets if t.name not in self._unreachable]
        targets = linked or all_targets
        targets = [t for t in targets if t.name not in hop.tried] or targets
        candidates = (
            self.world.random.choice(targets),
            self.world.random.choice(targets),
        )
        return min(candidates, key=self._score)

    def _score(self, target) -> float:
        slots = self.world.deployment.services[target.service].slots
        in_flight = self._in_flight.get(target.name, 0)
        return self._loads.get(target.name, 0.0) + in_flight / slots

    def _reply_sender(self, hop: Hop, attempt_id: str):
        def reply(host: str, message: Reply) -> None:
            zone = self.world.zone_of[host]
            self.world.send(
                zone, self.zone, self._on_reply, hop, attempt_id, host, message
            )

        return reply

    def _on_reply(self, hop: Hop, attempt_id: str, host: str, reply: Reply) -> None:
        self.levels.record(self.world.clock.now_ms, hop.route, host, reply.level)
        self._loads[host] = reply.load
        if attempt_id in hop.answered:
            return
        hop.answered.add(attempt_id)
        self._in_flight[host] -= 1
        self.ledger.give_back(hop.request_id, attempt_id, reply.unused)
        if not hop.open:
            return
        if reply.ok:
            self._end_call(hop, True, "", reply.calls_done)
        else:
            self._on_failure(hop, reply.reason)

    def _on_failure(self, hop: Hop, reason: str) -> None:
        """Retry a failure that another target may avoid.

        With an allowance, failures of nested calls aren't retried.
        """
        stack = self.world.stack
        if stack.allowance:
            should_retry = reason in ("shed", "unreachable") and self.ledger.spend(
                hop.request_id
            )
        else:
            should_retry = hop.attempts <= stack.hop_retries
        if should_retry:
            backoff_ms = 0.0 if stack.allowance else HOP_BACKOFF_MS
            self.world.clock.after(backoff_ms, self._attempt, hop)
        else:
            self._end_call(hop, False, reason, 0)

    def _check_link(self, hop: Hop, attempt_id: str, target) -> None:
        if target.reachable or attempt_id in hop.answered:
            return
        hop.answered.add(attempt_id)
        hop.uncertain = True
        self._in_flight[target.name] -= 1
        if target.name not in self._unreachable:
            self._unreachable.add(target.name)
            self.world.clock.after(RECONNECT_INTERVAL_MS, self._reconnect, target)
        if hop.open:
            self._on_failure(hop, "unreachable")

    def _reconnect(self, target) -> None:
        """Mark a target reachable again, or check once more later."""
        if target.reachable:
            self._unreachable.discard(target.name)
        else:
            self.world.clock.after(RECONNECT_INTERVAL_MS, self._reconnect, target)

    def _end_call(self, hop: Hop, ok: bool, reason: str, calls_done: int) -> None:
        if not hop.open:
            return
        hop.open = False
        hop.done(ok, reason, calls_done)
