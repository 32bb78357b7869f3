"""What the callers of a service know of the shed levels of its targets."""

from collections.abc import Iterable
from typing import NamedTuple

from .shed_level import NOTHING_SHED, ShedLevel
from .work import ROOT_HASH_SPAN

FRESH_MS = 100.0
PROBE_FRACTION = 0.01
RETRY_AFTER_MS = 500


class NotedLevel(NamedTuple):
    """A shed level and the time at which it was heard."""

    level: ShedLevel
    noted_ms: float


class LevelTable:
    """Shed levels by name and host; work that all hosts would shed is not sent.

    A name is that of a service, or of a route where the host that answers folds the
    levels of the services below it into its own. A level is taken at its word while
    it is fresh. From then on it opens step by step to the roots with the lowest
    hashes, until it is forgotten after ``ttl_ms``: callers that heard nothing return
    little by little, and not all at once.
    """

    def __init__(self, *, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
        self._levels: dict[str, dict[str, NotedLevel]] = {}

    def note(self, now_ms: float, name: str, host: str, level: ShedLevel) -> None:
        """Remember the level that ``host`` has sent with an answer."""
        self._levels.setdefault(name, {})[host] = NotedLevel(level, now_ms)

    def forget(self, host: str) -> None:
        """Drop all levels of a host that has left."""
        for hosts in self._levels.values():
            hosts.pop(host, None)

    def refuses(
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
            if self._all_shed(now_ms, name, rank, root_hash):
                return int(RETRY_AFTER_MS * (1 + root_hash / ROOT_HASH_SPAN))
        return None

    def strictest(self, now_ms: float, names: Iterable[str]) -> ShedLevel:
        """Return the strictest of the fresh levels of several names.

        The level of a name is the loosest among its hosts, as any of them can be
        chosen.
        """
        levels = [self._loosest(now_ms, name) for name in names]
        return min(levels, default=NOTHING_SHED)

    def _loosest(self, now_ms: float, name: str) -> ShedLevel:
        hosts = self._known(now_ms, name)
        fresh = [n.level for n in hosts.values() if now_ms - n.noted_ms <= FRESH_MS]
        return max(fresh, default=NOTHING_SHED)

    def _all_shed(self, now_ms: float, name: str, rank: int, root_hash: int) -> bool:
        hosts = self._known(now_ms, name)
        if not hosts:
            return False
        newest_ms = max(noted.noted_ms for noted in hosts.values())
        # One fresh level says more than the others' old ones: targets of a service
        # share its load, and a stale level must not open what a fresh one closes.
        judged = [
            noted
            for noted in hosts.values()
            if noted.noted_ms >= min(newest_ms, now_ms - FRESH_MS)
        ]
        if not all(noted.level.sheds(rank, root_hash) for noted in judged):
            return False
        return not self._is_reopened(now_ms - newest_ms, rank, root_hash)

    def _is_reopened(self, age_ms: float, rank: int, root_hash: int) -> bool:
        """Whether the newest level is so old that this work goes past it."""
        if age_ms <= FRESH_MS:
            return False
        opened = (age_ms - FRESH_MS) / max(1.0, self._ttl_ms - FRESH_MS)
        return rank == 1 or root_hash < opened * ROOT_HASH_SPAN

    def _known(self, now_ms: float, name: str) -> dict[str, NotedLevel]:
        """Return the levels of ``name`` by host, without those that are too old."""
        hosts = self._levels.get(name)
        if hosts is None:
            return {}
        oldest_ms = now_ms - self._ttl_ms
        if any(noted.noted_ms < oldest_ms for noted in hosts.values()):
            hosts = {h: n for h, n in hosts.items() if n.noted_ms >= oldest_ms}
            self._levels[name] = hosts
        return hosts
