"""Hosts that this node can't reach."""

from ..bundle.model import MembershipPolicy
from .record_order import GONE, LEAVING
from .view import View

# A probe costs one attempt to connect. Rarer ones would make a healed partition last.
MAX_PROBE_INTERVAL_MS = 5_000.0


class _Outage:
    """One host's failed attempts."""

    __slots__ = ("failures", "probe_ms", "since_ms")

    def __init__(self, since_ms: float) -> None:
        self.since_ms = since_ms
        self.failures = 0
        self.probe_ms = since_ms


class FailureTracker:
    """Keeps this node's own findings apart from what it tells others.

    A host that can't be reached from here may be served by its own side of a
    partition. So the finding only steers this node's routing. Others are told that a
    host is gone when the platform's list has lost it as well, or when it had said
    before that it was leaving.
    """

    def __init__(self, *, policy: MembershipPolicy) -> None:
        self._policy = policy
        self._outages: dict[str, _Outage] = {}

    def set_policy(self, policy: MembershipPolicy) -> None:
        """Go by the times of ``policy`` from now on."""
        self._policy = policy

    def record_failure(self, now_ms: float, host: str) -> None:
        """Note that a link to ``host`` broke or could not be opened."""
        outage = self._outages.setdefault(host, _Outage(now_ms))
        backoff_ms = self._policy.heartbeat_ms * 2.0 ** min(outage.failures, 16)
        outage.failures += 1
        outage.probe_ms = now_ms + min(backoff_ms, MAX_PROBE_INTERVAL_MS)

    def record_contact(self, host: str) -> None:
        """Note that ``host`` sent a frame."""
        self._outages.pop(host, None)

    def is_reachable(self, host: str) -> bool:
        """Return whether nothing speaks against ``host``."""
        return host not in self._outages

    def may_probe(self, now_ms: float, host: str) -> bool:
        """Return whether a link to ``host`` may be tried now."""
        outage = self._outages.get(host)
        return outage is None or now_ms >= outage.probe_ms

    def take_gone_hosts(self, now_ms: float, view: View) -> list[str]:
        """Return hosts that may be declared gone, and forget them.

        With the platform's list absent no live host is declared gone, so a
        partition alone never makes one side declare the other gone.
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
