"""The calling side of a node: levels, retries and the choice of a target."""

from jacinthshed.internal.admission import ShedLevelTable
from jacinthshed.internal.bundle.model import AdmissionPolicy, RetryPolicy
from jacinthshed.internal.retry import AllowanceLedger, ResendLimiter

from .model import Attempt, Hop, Reply

HOP_BACKOFF_MS = 50.0
UNREACHABLE_AFTER_MS = 500.0
RECONNECT_EVERY_MS = 250.0
TIMEOUT = "timeout"


class Node:
    """Calls services for callers and for its own backend server."""

    def __init__(self, world, name: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.levels = ShedLevelTable(ttl_ms=AdmissionPolicy().level_ttl_ms)
        self.ledger = AllowanceLedger()
        self.bucket = ResendLimiter(policy=RetryPolicy())
        self._in_flight: dict[str, int] = {}
        self._loads: dict[str, float] = {}
        self._unreachable: set[str] = set()

    def call(self, hop: Hop) -> None:
        """Make one call, and tell its verdict to ``hop.done``."""
        wait_ms = hop.deadline_at_ms - self.world.clock.now_ms
        if wait_ms <= 0:
            hop.done(False, TIMEOUT, 0)
            return
        self.world.clock.after(wait_ms, self._end, hop, False, TIMEOUT, 0)
        self._attempt(hop)

    def _attempt(self, hop: Hop) -> None:
        if not hop.open:
            return
        if self.is_shed(hop, hop.name):
            self._end(hop, False, "level", 0)
            return
        hop.attempts += 1
        attempt_id = self.world.new_id()
        part = self.ledger.split(
            hop.request_id, attempt_id, calls_others=not hop.is_last
        )
        self.world.count_attempt(hop)
        target = self._choose(hop)
        hop.tried.add(target.name)
        self._in_flight[target.name] = self._in_flight.get(target.name, 0) + 1
        attempt = Attempt(attempt_id, hop, part, self._reply_route(hop, attempt_id))
        self.world.send(self.zone, target.zone, target.receive, attempt)
        if self.world.case.zone_gone:
            self.world.clock.after(
                UNREACHABLE_AFTER_MS, self._check_link, hop, attempt_id, target
            )

    def is_shed(self, hop: Hop, name: str) -> bool:
        """Whether all targets that ``name`` leads to would shed the hop's root."""
        if not self.world.stack.levels:
            return False
        wait_ms = self.levels.refusal_wait_ms(
            self.world.clock.now_ms,
            (name,),
            hop.root.rank,
            self.world.hash_of(hop.root),
            self.world.random.random(),
        )
        return wait_ms is not None

    def _choose(self, hop: Hop):
        """Return the better of two random targets, which were not tried if possible."""
        all_targets = self.world.targets[hop.service]
        linked = [t for t in all_targets if t.name not in self._unreachable]
        targets = linked or all_targets
        targets = [t for t in targets if t.name not in hop.tried] or targets
        picks = (self.world.random.choice(targets), self.world.random.choice(targets))
        return min(picks, key=self._score)

    def _score(self, target) -> float:
        slots = self.world.deployment.services[target.service].slots
        in_flight = self._in_flight.get(target.name, 0)
        return self._loads.get(target.name, 0.0) + in_flight / slots

    def _reply_route(self, hop: Hop, attempt_id: str):
        def reply(host: str, message: Reply) -> None:
            zone = self.world.zone_of[host]
            self.world.send(
                zone, self.zone, self._on_reply, hop, attempt_id, host, message
            )

        return reply

    def _on_reply(self, hop: Hop, attempt_id: str, host: str, reply: Reply) -> None:
        self.levels.record(self.world.clock.now_ms, hop.name, host, reply.level)
        self._loads[host] = reply.load
        if attempt_id in hop.answered:
            return
        hop.answered.add(attempt_id)
        self._in_flight[host] -= 1
        self.ledger.give_back(hop.request_id, attempt_id, reply.unused)
        if not hop.open:
            return
        if reply.ok:
            self._end(hop, True, "", reply.calls_done)
        else:
            self._on_failure(hop, reply.reason)

    def _on_failure(self, hop: Hop, reason: str) -> None:
        """Retry what another target may take; what lies deeper is not retried."""
        stack = self.world.stack
        if stack.allowance:
            again = reason in ("shed", "unreachable") and self.ledger.spend(
                hop.request_id
            )
        else:
            again = hop.attempts <= stack.hop_retries
        if again:
            backoff_ms = 0.0 if stack.allowance else HOP_BACKOFF_MS
            self.world.clock.after(backoff_ms, self._attempt, hop)
        else:
            self._end(hop, False, reason, 0)

    def _check_link(self, hop: Hop, attempt_id: str, target) -> None:
        if target.reachable or attempt_id in hop.answered:
            return
        hop.answered.add(attempt_id)
        hop.uncertain = True
        self._in_flight[target.name] -= 1
        if target.name not in self._unreachable:
            self._unreachable.add(target.name)
            self.world.clock.after(RECONNECT_EVERY_MS, self._reconnect, target)
        if hop.open:
            self._on_failure(hop, "unreachable")

    def _reconnect(self, target) -> None:
        """Open a new link to a target that was cut off, as soon as one can be."""
        if target.reachable:
            self._unreachable.discard(target.name)
        else:
            self.world.clock.after(RECONNECT_EVERY_MS, self._reconnect, target)

    def _end(self, hop: Hop, ok: bool, reason: str, calls_done: int) -> None:
        if not hop.open:
            return
        hop.open = False
        hop.done(ok, reason, calls_done)
