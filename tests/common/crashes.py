"""Nodes with backend servers that die of certain requests."""

from jacinthshed.internal.bundle.model import QuarantinePolicy
from jacinthshed.internal.quarantine.decisions import NotSuspected, Quarantined
from jacinthshed.internal.quarantine.suspects import Suspects

POLICY = QuarantinePolicy()


class CrashingNode:
    """A node beside a backend server; ``killers`` are the fingerprints it dies of."""

    def __init__(self, *, host, killers, policy=POLICY):
        self.host = host
        self.suspects = Suspects(policy=policy)
        self.running = []
        self.deaths = 0
        self._killers = killers

    def offer(self, now_ms, fingerprint):
        """Start a request unless the suspects forbid it; return whether it started."""
        decision = self.suspects.check(now_ms, fingerprint)
        if isinstance(decision, Quarantined):
            return False
        if not isinstance(decision, NotSuspected) and decision.busy:
            return False
        self.suspects.started(fingerprint)
        self.running.append(fingerprint)
        return True

    def end(self, now_ms):
        """Let what runs end: with answers, or with the death of the server."""
        running, self.running = self.running, []
        if not self._killers.isdisjoint(running):
            self.deaths += 1
            self.suspects.crashed(now_ms, self.host, 1, running)
            return
        for fingerprint in running:
            self.suspects.succeeded(now_ms, fingerprint)


def gossip(nodes, now_ms):
    """Tell every node's news to every other one."""
    told = [(node, node.suspects.reports(now_ms)) for node in nodes]
    for sender, reports in told:
        for node in nodes:
            if node is not sender:
                tell(node, now_ms, reports)


def tell(node, now_ms, reports):
    """Let ``node`` learn ``reports``."""
    for report in reports:
        node.suspects.apply_report(now_ms, report)
