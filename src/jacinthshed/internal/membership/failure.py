"""Detection of hosts that this node can't reach."""

from ..bundle.model import MembershipPolicy
from .record_order import GONE, LEAVING
from .view import View

# A probe costs one connection attempt. With a longer interval, hosts would stay
# unreachable for longer after a partition has healed.
MAX_PROBE_INTERVAL_MS = 5_000.0


class _Outage:
    """An unreachable host, with the failures since ``since_ms`` and the next probe."""

    __slots__ = ("failures", "next_probe_ms", "since_ms")

    def __init__(self, since_ms: float) -> None:
        self.since_ms = since_ms
        self.failures = 0
        self.next_probe_ms = since_ms


class FailureTracker:
    """Tracks which hosts this node can't reach.

    A host that is unreachable from here may still be reachable for other nodes on its
    side of a partition, so the finding affects only this node's routing. A host is
    declared gone to other nodes only if the platform's list no longer shows it, or if
    it had announced that it was leaving.
    """

    def __init__(self, *, policy: MembershipPolicy) -> None:
        self._policy = policy
        self._outages: dict[str, _Outage] = {}

    def set_policy(self, policy: MembershipPolicy) -> None:
        """Use the intervals of ``policy`` from now on."""
        self._policy = policy

    def record_failure(self, now_ms: float, host: str) -> None:
        """Record that a link to ``host`` broke or could not be opened."""
        outage = self._outages.setdefault(host, _Outage(now_ms))
        backoff_ms = self._policy.heartbeat_ms * 2.0 ** min(outage.failures, 16)
        outage.failures += 1
        outage.next_probe_ms = now_ms + min(backoff_ms, MAX_PROBE_INTERVAL_MS)

    def record_contact(self, host: str) -> None:
        """Record that ``host`` sent a frame."""
        self._outages.pop(host, None)

    def is_reachable(self, host: str) -> bool:
        """Return whether ``host`` has no failure since its last frame."""
        return host not in self._outages

    def may_probe(self, now_ms: float, host: str) -> bool:
        """Return whether this node may try to open a link to ``host`` now."""
        outage = self._outages.get(host)
        return outage is None or now_ms >= outage.next_probe_ms

    def take_gone_hosts(self, now_ms: float, view: View) -> list[str]:
        """Return the hosts that may be declared gone, and stop tracking them.

        Without the platform's list no live host is declared gone, so a partition alone
        never makes one side declare the other gone.
        """
        gone = []
        for host, outage in list(self._outages.items()):
            record = view.get(host)
            if record is None or record.state == GONE:
                del self._outages[host]
                continue
            if now_ms - outage.since_ms < self._policy.unreachable_after_ms:
                continue
            if record.state == LEAVING or view.is_delisted(host):
                gone.append(host)
                del self._outages[host]
        return gone
