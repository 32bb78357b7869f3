"""What the callers of a service know of the shed levels of its targets."""

from collections.abc import Iterable
from typing import NamedTuple

from .shed_level import NOTHING_SHED, ShedLevel
from .work import ROOT_HASH_SPAN

FRESH_MS = 100.0
JUDGE_INTERVAL_MS = 10.0
PROBE_FRACTION = 0.01
RETRY_AFTER_MS = 500


class NotedLevel(NamedTuple):
    """A shed level and the time at which it was heard."""

    level: ShedLevel
    noted_ms: float


class _HostLevels:
    """The levels of one name's hosts, and the loosest of those that count.

    A call must not look at all hosts. So the loosest is found again only when the host
    that had it tells another, or when ``JUDGE_INTERVAL_MS`` have passed, in which
    levels may have become old.
    """

    __slots__ = ("judged_ms", "loosest", "newest_ms", "noted")

    def __init__(self) -> None:
        self.noted: dict[str, NotedLevel] = {}
        self.newest_ms = float("-inf")
        self.loosest = NOTHING_SHED
        self.judged_ms = float("-inf")

    def record(self, now_ms: float, host: str, level: ShedLevel) -> None:
        before = self.noted.get(host)
        self.noted[host] = NotedLevel(level, now_ms)
        self.newest_ms = now_ms
        if level >= self.loosest:
            self.loosest = level
        elif before is None or before.level == self.loosest:
            self.judged_ms = float("-inf")

    def judge(self, now_ms: float, ttl_ms: float) -> ShedLevel:
        """Return the loosest of the fresh levels, or of the newest if none is."""
        if now_ms - self.judged_ms >= JUDGE_INTERVAL_MS:
            self.judged_ms = now_ms
            self._drop_before(now_ms - ttl_ms)
            # One fresh level says more than the others' old ones: targets of a
            # service share its load, and a stale level must not open what a fresh one
            # closes.
            oldest_ms = min(self.newest_ms, now_ms - FRESH_MS)
            counted = [n.level for n in self.noted.values() if n.noted_ms >= oldest_ms]
            self.loosest = max(counted, default=NOTHING_SHED)
        return self.loosest

    def _drop_before(self, oldest_ms: float) -> None:
        if any(noted.noted_ms < oldest_ms for noted in self.noted.values()):
            kept = {h: n for h, n in self.noted.items() if n.noted_ms >= oldest_ms}
            self.noted = kept


class ShedLevelTable:
    """Shed levels by name and host; work that all hosts would shed is not sent.

    A name is that of a service, or of a route where the host that answers folds the
    levels of the services below it into its own. A level is taken at its word while
    it is fresh. From then on it opens step by step to the roots with the lowest
    hashes, until it is forgotten after ``ttl_ms``: callers that heard nothing return
    little by little, and not all at once.
    """

    def __init__(self, *, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._names: dict[str, _HostLevels] = {}

    def record(self, now_ms: float, name: str, host: str, level: ShedLevel) -> None:
        """Remember the level that ``host`` has sent with an answer."""
        hosts = self._names.get(name)
        if hosts is None:
            hosts = self._names[name] = _HostLevels()
        hosts.record(now_ms, host, level)

    def set_ttl_ms(self, ttl_ms: float) -> None:
        """Trust what is heard for ``ttl_ms`` from now on."""
        self._ttl_ms = ttl_ms

    def refusal_wait_ms(
        self,
        now_ms: float,
        names: Iterable[str],
        rank: int,
        root_hash: int,
        fraction: float,
    ) -> int | None:
        """Return the wait before a resend, in ms, when the work would be shed.

        ``fraction`` is a random number in [0, 1): the smallest ones are let through as
        probes. Returns None when the work is to be sent.
        """
        if fraction < PROBE_FRACTION:
            return None
        for name in names:
            if self._sheds(now_ms, name, rank, root_hash):
                return int(RETRY_AFTER_MS * (1 + root_hash / ROOT_HASH_SPAN))
        return None

    def strictest(self, now_ms: float, names: Iterable[str]) -> ShedLevel:
        """Return the strictest of the fresh levels of several names.

        The level of a name is the loosest among its hosts, as any of them can be
        chosen.
        """
        levels = [self._fresh_level(now_ms, name) for name in names]
        return min(levels, default=NOTHING_SHED)

    def _fresh_level(self, now_ms: float, name: str) -> ShedLevel:
        hosts = self._names.get(name)
        if hosts is None or now_ms - hosts.newest_ms > FRESH_MS:
            return NOTHING_SHED
        return hosts.judge(now_ms, self._ttl_ms)

    def _sheds(self, now_ms: float, name: str, rank: int, root_hash: int) -> bool:
        hosts = self._names.get(name)
        if hosts is None:
            return False
        age_ms = now_ms - hosts.newest_ms
        if age_ms > self._ttl_ms or self._is_reopened(age_ms, rank, root_hash):
            return False
        return hosts.judge(now_ms, self._ttl_ms).sheds(rank, root_hash)

    def _is_reopened(self, age_ms: float, rank: int, root_hash: int) -> bool:
        """Whether the newest level is so old that this work goes past it."""
        if age_ms <= FRESH_MS:
            return False
        opened = (age_ms - FRESH_MS) / max(1.0, self._ttl_ms - FRESH_MS)
        return rank == 1 or root_hash < opened * ROOT_HASH_SPAN
