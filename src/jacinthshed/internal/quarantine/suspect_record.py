"""The crashes that requests of one fingerprint are suspected of."""

from collections.abc import Iterator

from ..bundle.model import QuarantinePolicy
from .crash import CLEAR, CRASH, NO_CRASH, CrashId, SuspectUpdate

MAX_DOUBLINGS = 6


class SuspectRecord:
    """Crashes since the last success, and the crashes cleared by successes, by host."""

    __slots__ = ("_cleared", "_crashes", "_changed_at_ms")

    def __init__(self, now_ms: float) -> None:
        self._crashes: dict[tuple[str, CrashId], float] = {}
        self._cleared: dict[str, CrashId] = {}
        self._changed_at_ms = now_ms

    @property
    def suspected(self) -> bool:
        """Whether there is a crash that is not cleared."""
        return bool(self._crashes)

    def add(self, host: str, crash_id: CrashId, at_ms: float) -> bool:
        """Record a crash and return whether it was new.

        A crash that a success has cleared stays cleared, however late it is reported
        again: clearing refers to crash ids, and doesn't compare clocks.
        """
        if (host, crash_id) in self._crashes:
            return False
        if crash_id <= self._cleared.get(host, NO_CRASH):
            return False
        self._crashes[host, crash_id] = at_ms
        self._changed_at_ms = max(self._changed_at_ms, at_ms)
        return True

    def clear(self, host: str, crash_id: CrashId, at_ms: float) -> bool:
        """Clear crashes at ``host`` up to ``crash_id``; return whether that was new."""
        if crash_id <= self._cleared.get(host, NO_CRASH):
            return False
        self._cleared[host] = crash_id
        for crash_host, crash in list(self._crashes):
            if crash_host == host and crash <= crash_id:
                del self._crashes[crash_host, crash]
        self._changed_at_ms = max(self._changed_at_ms, at_ms)
        return True

    def crashes(self) -> list[tuple[str, CrashId, float]]:
        """Return host, id and monotonic time of the crashes that are not cleared."""
        return [(host, crash_id, at) for (host, crash_id), at in self._crashes.items()]

    def updates(self, fingerprint: int) -> Iterator[tuple[SuspectUpdate, float]]:
        """Return updates that describe the record, each with a monotonic time.

        It is the time of the crash or, for a clearing, of the record's last change.
        """
        for host, crash_id in self._cleared.items():
            yield SuspectUpdate(fingerprint, host, CLEAR, crash_id), self._changed_at_ms
        for (host, crash_id), at_ms in self._crashes.items():
            yield SuspectUpdate(fingerprint, host, CRASH, crash_id), at_ms

    def quarantined_until_ms(self, policy: QuarantinePolicy) -> float | None:
        """Return the end of the quarantine, or None with too few crashes.

        Crashes on ``policy.crashes`` different hosts are enough. On fewer hosts one
        more crash is required, as the host itself may be the cause. Crashes on a single
        host do count, so that a service with a single live target isn't crashed without
        end. Each further crash doubles the time, up to ``MAX_DOUBLINGS`` times, so that
        a caller that resends as soon as it may causes few crashes.
        """
        hosts = {host for host, _ in self._crashes}
        crash_count = len(self._crashes)
        if len(hosts) < policy.crashes and crash_count <= policy.crashes:
            return None
        doublings = min(crash_count - policy.crashes, MAX_DOUBLINGS)
        last_ms = max(self._crashes.values())
        return last_ms + policy.quarantine_ttl_ms * 2**doublings

    def keep_until_ms(self, policy: QuarantinePolicy) -> float:
        """Return when the record expires.

        After a quarantine the record is retained for the same time again, so that the
        next crash renews the quarantine.
        """
        until_ms = self.quarantined_until_ms(policy)
        if until_ms is None:
            return self._changed_at_ms + policy.suspect_ttl_ms
        return until_ms + (until_ms - max(self._crashes.values()))
