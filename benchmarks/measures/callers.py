"""Callers that send a steady stream and resend hard, whatever they are told."""

from collections import Counter

from jacinthshed.internal.bundle.model import RetryPolicy

from .deployment import DEADLINE_MS
from .model import Hop, Root
from .node import TIMEOUT
from .target import BELOW

CALLERS = 200
RESENDS = 3
RESEND_AFTER_MS = 100.0


class Callers:
    """All callers of a run, spread over its entry nodes."""

    def __init__(self, world) -> None:
        self.world = world
        self.roots: list[Root] = []
        self.truth: Counter[str] = Counter()

    def start(self, end_ms: float) -> None:
        """Begin one stream of requests for each route."""
        for route in self.world.deployment.routes:
            self.world.clock.after(0.0, self._next, route, end_ms)

    def _next(self, route: str, end_ms: float) -> None:
        now_ms = self.world.clock.now_ms
        root = self.world.root(route)
        self.roots.append(root)
        self._submit(root, 0)
        spec = self.world.deployment.routes[route]
        rate_per_s = spec.rate_per_s * self.world.case.demand_at(now_ms)
        gap_ms = 1_000 / rate_per_s
        if now_ms + gap_ms < end_ms:
            self.world.clock.after(gap_ms, self._next, route, end_ms)

    def _submit(self, root: Root, resends: int) -> None:
        node = self.world.random.choice(self.world.nodes)
        delay_ms = self.world.deployment.client_delay_ms
        deadline_at_ms = self.world.clock.now_ms + DEADLINE_MS
        self.world.clock.after(
            delay_ms, self._enter, node, root, resends, deadline_at_ms
        )

    def _enter(self, node, root: Root, resends: int, deadline_at_ms: float) -> None:
        """Arrive at an entry node, which bounds resends and grants the allowance."""
        caller = f"caller-{root.id % CALLERS}"

        def done(ok: bool, reason: str, calls_done: int) -> None:
            node.ledger.close(request_id)
            if not ok:
                self.truth[_claim(hop, reason)] += 1
            self._on_verdict(root, resends, ok, reason)

        if self.world.stack.allowance:
            if resends and not node.bucket.try_resend(caller, self.world.clock.now_ms):
                self.truth["not run"] += 1
                self._on_verdict(root, resends, False, "retry-limit")
                return
            if not resends:
                node.bucket.record_fresh(caller)
        request_id = self.world.new_id()
        hop = Hop(root, 0, request_id, 0, deadline_at_ms, done)
        node.ledger.open(request_id, RetryPolicy().allowance)
        node.call(hop)

    def _on_verdict(self, root: Root, resends: int, ok: bool, reason: str) -> None:
        delay_ms = self.world.deployment.client_delay_ms
        if ok:
            root.served_ms = self.world.clock.now_ms + delay_ms
            return
        root.refusals[reason] = root.refusals.get(reason, 0) + 1
        if resends < RESENDS:
            self.world.clock.after(
                delay_ms + RESEND_AFTER_MS, self._submit, root, resends + 1
            )


def _claim(hop: Hop, reason: str) -> str:
    """Return what the caller is told of a failed submission, and whether it holds."""
    if reason == BELOW:
        return "ran, failed below"
    if reason == TIMEOUT or hop.uncertain:
        return "may have run"
    return "not run, but had started" if hop.started else "not run"
