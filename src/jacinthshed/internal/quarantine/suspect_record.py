"""The deaths that one fingerprint is suspected of."""

from collections.abc import Iterator

from ..bundle.model import QuarantinePolicy
from .crash import CLEAR, CRASH, NO_CRASH, CrashId, SuspectUpdate

MAX_DOUBLINGS = 6


class SuspectRecord:
    """Deaths since the last success, by host, and what successes have cleared."""

    __slots__ = ("_cleared", "_crashes", "_changed_ms")

    def __init__(self, now_ms: float) -> None:
        self._crashes: dict[tuple[str, CrashId], float] = {}
        self._cleared: dict[str, CrashId] = {}
        self._changed_ms = now_ms

    @property
    def suspected(self) -> bool:
        """Whether any death stands."""
        return bool(self._crashes)

    def add(self, host: str, crash_id: CrashId, at_ms: float) -> bool:
        """Note a death and return whether it was news.

        One that a success has cleared stays cleared, however late it is told again:
        clearing names deaths, and compares no clocks.
        """
        if (host, crash_id) in self._crashes:
            return False
        if crash_id <= self._cleared.get(host, NO_CRASH):
            return False
        self._crashes[host, crash_id] = at_ms
        self._changed_ms = max(self._changed_ms, at_ms)
        return True

    def clear(self, host: str, crash_id: CrashId, at_ms: float) -> bool:
        """Clear deaths at ``host`` up to ``crash_id``; return whether that was news."""
        if crash_id <= self._cleared.get(host, NO_CRASH):
            return False
        self._cleared[host] = crash_id
        for crash_host, crash in list(self._crashes):
            if crash_host == host and crash <= crash_id:
                del self._crashes[crash_host, crash]
        self._changed_ms = max(self._changed_ms, at_ms)
        return True

    def crashes(self) -> list[tuple[str, CrashId, float]]:
        """Return the deaths that stand, with the monotonic time of each."""
        return [(host, crash_id, at) for (host, crash_id), at in self._crashes.items()]

    def news(self, fingerprint: int) -> Iterator[tuple[SuspectUpdate, float]]:
        """Return all that is known, with the time of each event."""
        for host, crash_id in self._cleared.items():
            yield SuspectUpdate(fingerprint, host, CLEAR, crash_id), self._changed_ms
        for (host, crash_id), at_ms in self._crashes.items():
            yield SuspectUpdate(fingerprint, host, CRASH, crash_id), at_ms

    def quarantined_until_ms(self, policy: QuarantinePolicy) -> float | None:
        """Return the end of the quarantine, or ``None`` when too few deaths stand.

        Deaths on as many hosts as the policy names are enough. On one host alone one
        more is asked for: the host may be what is broken, yet a service with a single
        live target must not be killed without end. Each death beyond doubles the time,
        so a caller that resends whenever it may kills few.
        """
        hosts = {host for host, _ in self._crashes}
        deaths = len(self._crashes)
        if len(hosts) < policy.crashes and deaths <= policy.crashes:
            return None
        doublings = min(deaths - policy.crashes, MAX_DOUBLINGS)
        last_ms = max(self._crashes.values())
        return last_ms + policy.quarantine_ttl_ms * 2**doublings

    def keep_until_ms(self, policy: QuarantinePolicy) -> float:
        """Return when the record may be forgotten.

        A quarantine is remembered for as long again as it lasted, so that the next
        death renews it.
        """
        until_ms = self.quarantined_until_ms(policy)
        if until_ms is None:
            return self._changed_ms + policy.suspect_ttl_ms
        return until_ms + (until_ms - max(self._crashes.values()))
