"""Shed levels received from targets, kept by the callers of a service."""

from collections.abc import Iterable
from typing import NamedTuple

from .shed_level import NOTHING_SHED, ShedLevel
from .work import ROOT_HASH_SPAN

# A level younger than this is applied in full.
FRESH_MS = 100.0
RECOMPUTE_INTERVAL_MS = 10.0
# Share of the work that is sent as a probe, regardless of the levels.
PROBE_FRACTION = 0.01
RETRY_AFTER_MS = 500


class ReceivedLevel(NamedTuple):
    """A shed level and the monotonic time at which it was received."""

    level: ShedLevel
    received_at_ms: float


class _HostLevels:
    """The levels of the hosts of one name, and the loosest of the valid ones.

    Checking all hosts on every call would cost too much. The loosest level is therefore
    computed again only when the host that sent it sends another one, or after
    ``RECOMPUTE_INTERVAL_MS``, as levels may have become old by then.
    """

    __slots__ = ("computed_at_ms", "loosest", "newest_at_ms", "received")

    def __init__(self) -> None:
        self.received: dict[str, ReceivedLevel] = {}
        self.newest_at_ms = float("-inf")
        self.loosest = NOTHING_SHED
        self.computed_at_ms = float("-inf")

    def record(self, now_ms: float, host: str, level: ShedLevel) -> None:
        previous = self.received.get(host)
        self.received[host] = ReceivedLevel(level, now_ms)
        self.newest_at_ms = now_ms
        if level >= self.loosest:
            self.loosest = level
        elif previous is None or previous.level == self.loosest:
            self.computed_at_ms = float("-inf")

    def effective_level(self, now_ms: float, ttl_ms: float) -> ShedLevel:
        """Return the loosest of the fresh levels, or the newest level if none is fresh.

        Levels older than ``ttl_ms`` are dropped.
        """
        if now_ms - self.computed_at_ms >= RECOMPUTE_INTERVAL_MS:
            self.computed_at_ms = now_ms
            self._drop_before(now_ms - ttl_ms)
            # A fresh level takes precedence over older ones: the targets of a service
            # share its load, and a stale level must not admit work that a fresh one
            # sheds.
            oldest_ms = min(self.newest_at_ms, now_ms - FRESH_MS)
            eligible = [
                entry.level
                for entry in self.received.values()
                if entry.received_at_ms >= oldest_ms
            ]
            self.loosest = max(eligible, default=NOTHING_SHED)
        return self.loosest

    def _drop_before(self, oldest_ms: float) -> None:
        if any(
            received.received_at_ms < oldest_ms for received in self.received.values()
        ):
            kept = {
                host: entry
                for host, entry in self.received.items()
                if entry.received_at_ms >= oldest_ms
            }
            self.received = kept


class ShedLevelTable:
    """Shed levels by name and host; work that all hosts would shed is not sent.

    A name is that of a service, or of a route if the answering hosts combine the levels
    of the services that they call with their own. A level is applied in full while it
    is fresh. After that a growing share of the roots, from the lowest hash on, is
    admitted in spite of it, and it expires after ``ttl_ms``. So callers that received
    no newer level return gradually and not all at once.
    """

    def __init__(self, *, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._names: dict[str, _HostLevels] = {}

    def record(self, now_ms: float, name: str, host: str, level: ShedLevel) -> None:
        """Store the level that ``host`` sent with a reply."""
        hosts = self._names.get(name)
        if hosts is None:
            hosts = self._names[name] = _HostLevels()
        hosts.record(now_ms, host, level)

    def set_ttl_ms(self, ttl_ms: float) -> None:
        """Let levels expire after ``ttl_ms`` from now on."""
        self._ttl_ms = ttl_ms

    def refusal_wait_ms(
        self,
        now_ms: float,
        names: Iterable[str],
        rank: int,
        root_hash: int,
        fraction: float,
    ) -> int | None:
        """Return the wait before a resend in milliseconds, or None to send the work.

        The work is refused if all hosts of one of ``names`` would shed it. ``fraction``
        is a random number in ``[0, 1)``: below ``PROBE_FRACTION`` the work is sent as a
        probe.
        """
        if fraction < PROBE_FRACTION:
            return None
        for name in names:
            if self._would_shed(now_ms, name, rank, root_hash):
                return int(RETRY_AFTER_MS * (1 + root_hash / ROOT_HASH_SPAN))
        return None

    def strictest(self, now_ms: float, names: Iterable[str]) -> ShedLevel:
        """Return the strictest of the fresh levels of several names.

        The level of one name is the loosest among its hosts, as any of them may be
        chosen.
        """
        levels = [self._fresh_level(now_ms, name) for name in names]
        return min(levels, default=NOTHING_SHED)

    def _fresh_level(self, now_ms: float, name: str) -> ShedLevel:
        hosts = self._names.get(name)
        if hosts is None or now_ms - hosts.newest_at_ms > FRESH_MS:
            return NOTHING_SHED
        return hosts.effective_level(now_ms, self._ttl_ms)

    def _would_shed(self, now_ms: float, name: str, rank: int, root_hash: int) -> bool:
        hosts = self._names.get(name)
        if hosts is None:
            return False
        age_ms = now_ms - hosts.newest_at_ms
        if age_ms > self._ttl_ms or self._is_readmitted(age_ms, rank, root_hash):
            return False
        return hosts.effective_level(now_ms, self._ttl_ms).sheds(rank, root_hash)

    def _is_readmitted(self, age_ms: float, rank: int, root_hash: int) -> bool:
        """Return whether the newest level is too old to shed this work.

        Rank 1 is admitted as soon as the level isn't fresh.
        """
        if age_ms <= FRESH_MS:
            return False
        readmitted_share = (age_ms - FRESH_MS) / max(1.0, self._ttl_ms - FRESH_MS)
        return rank == 1 or root_hash < readmitted_share * ROOT_HASH_SPAN
