"""Nodes with backend servers that certain requests crash."""

from jacinthshed.internal.bundle.model import QuarantinePolicy
from jacinthshed.internal.quarantine.decisions import NotSuspected, Quarantined
from jacinthshed.internal.quarantine.suspects import Suspects

POLICY = QuarantinePolicy()


class CrashingNode:
    """A node beside a backend server that crashes on the fingerprints ``crashing``."""

    def __init__(self, *, host, crashing, policy=POLICY):
        self.host = host
        self.suspects = Suspects(policy=policy)
        self.running = []
        self.crash_count = 0
        self._crashing = crashing

    def offer(self, now_ms, fingerprint):
        """Start a request unless ``Suspects`` refuses it; return whether it started."""
        decision = self.suspects.check(now_ms, fingerprint)
        if isinstance(decision, Quarantined):
            return False
        if not isinstance(decision, NotSuspected) and decision.busy:
            return False
        self.suspects.started(fingerprint)
        self.running.append(fingerprint)
        return True

    def end(self, now_ms):
        """End all running requests, with answers or with a crash of the server."""
        running, self.running = self.running, []
        if not self._crashing.isdisjoint(running):
            self.crash_count += 1
            self.suspects.crashed(now_ms, self.host, 1, running)
            return
        for fingerprint in running:
            self.suspects.succeeded(now_ms, fingerprint)


def gossip(nodes, now_ms):
    """Deliver the reports of each node to all others."""
    outgoing = [(node, node.suspects.reports(now_ms)) for node in nodes]
    for sender, reports in outgoing:
        for node in nodes:
            if node is not sender:
                deliver(node, now_ms, reports)


def deliver(node, now_ms, reports):
    """Apply ``reports`` at ``node``."""
    for report in reports:
        node.suspects.apply_report(now_ms, report)
