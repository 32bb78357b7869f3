"""Callers that send at a steady rate and resend failed requests.

They resend after every failure, whatever its verdict and reason are.
"""

from collections import Counter

from jacinthshed.internal.bundle.model import RetryPolicy

from .deployment import DEADLINE_MS
from .model import Hop, Root
from .node import TIMEOUT
from .target import NESTED_CALL_FAILED

CALLERS = 200
MAX_RESENDS = 3
RESEND_AFTER_MS = 100.0


class Callers:
    """All callers of a run, who send to random entry nodes.

    ``claims`` counts failed submissions by what the response states about execution.
    """

    def __init__(self, world) -> None:
        self.world = world
        self.roots: list[Root] = []
        self.claims: Counter[str] = Counter()

    def start(self, end_ms: float) -> None:
        """Start one stream of requests for each route, which lasts until ``end_ms``."""
        for route in self.world.deployment.routes:
            self.world.clock.after(0.0, self._send_next, route, end_ms)

    def _send_next(self, route: str, end_ms: float) -> None:
        now_ms = self.world.clock.now_ms
        root = self.world.new_root(route)
        self.roots.append(root)
        self._submit(root, 0)
        route_spec = self.world.deployment.routes[route]
        rate_per_s = route_spec.rate_per_s * self.world.case.demand_at(now_ms)
        gap_ms = 1_000 / rate_per_s
        if now_ms + gap_ms < end_ms:
            self.world.clock.after(gap_ms, self._send_next, route, end_ms)

    def _submit(self, root: Root, resends: int) -> None:
        node = self.world.random.choice(self.world.nodes)
        delay_ms = self.world.deployment.client_delay_ms
        deadline_at_ms = self.world.clock.now_ms + DEADLINE_MS
        self.world.clock.after(
            delay_ms, self._start_call, node, root, resends, deadline_at_ms
        )

    def _start_call(
        self, node, root: Root, resends: int, deadline_at_ms: float
    ) -> None:
        """Start the call at an entry node, which limits resends and grants retries.

        With ``Stack.allowance`` a resend beyond the limit is refused.
        """
        caller = f"caller-{root.id % CALLERS}"

        def done(ok: bool, reason: str, calls_done: int) -> None:
            node.ledger.close(request_id)
            if not ok:
                self.claims[_claim(hop, reason)] += 1
            self._on_verdict(root, resends, ok, reason)

        if self.world.stack.allowance:
            if resends and not node.resend_limiter.try_resend(
                caller, self.world.clock.now_ms
            ):
                self.claims["not run"] += 1
                self._on_verdict(root, resends, False, "retry-limit")
                return
            if not resends:
                node.resend_limiter.record_fresh(caller)
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
        if resends < MAX_RESENDS:
            self.world.clock.after(
                delay_ms + RESEND_AFTER_MS, self._submit, root, resends + 1
            )


def _claim(hop: Hop, reason: str) -> str:
    """Return what the response states about the execution of a failed submission.

    "not run, but had started" marks a claim of "not run" that is wrong.
    """
    if reason == NESTED_CALL_FAILED:
        return "ran, failed below"
    if reason == TIMEOUT or hop.uncertain:
        return "may have run"
    return "not run, but had started" if hop.started else "not run"
