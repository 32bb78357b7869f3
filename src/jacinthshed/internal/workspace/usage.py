"""Decides at each node whether a request is within the limit of its workspace."""

from collections.abc import Callable, Iterable
from random import Random

from ..wire.usage import ALL_PERMILLE, DEMAND_UNKNOWN
from .status import KnownShare
from .usage_home import Limit

REPORT_MS = 500.0
# Much use is reported this soon.
URGENT_REPORT_MS = 100.0
# This share of the burst, admitted at one node, is much.
URGENT_SHARE = 0.05
# Without an answer of the home for this time, the node keeps to its own part. It takes
# less than an equal part, since the home grants the whole to the other nodes.
OWN_PART = 0.6
ANSWER_TIMEOUT_MS = 800.0
# A share below the whole is told again sooner than this.
SHARE_TTL_MS = 1_500.0


class _Usage:
    """What one node knows of one workspace."""

    def __init__(self, now_ms: float) -> None:
        self.used = 0
        self.wanted = 0
        self.permille = ALL_PERMILLE
        self.demand_permille = ALL_PERMILLE
        self.told_ms = now_ms
        self.reported_ms = now_ms - REPORT_MS
        self.unanswered_since_ms: float | None = None
        self.has_admitted_unanswered = False
        self.own_tokens = 1.0
        self.own_at_ms: float | None = None
        self.has_been_told = False


class UsageLimiter:
    """Admits the share of the requests of each workspace that its home has told.

    ``nodes`` returns the number of live nodes. A workspace that this node has not met
    before is admitted, and counted by the report that follows.
    """

    def __init__(self, *, nodes: Callable[[], int], random: Random) -> None:
        self._nodes = nodes
        self._random = random
        self._usage: dict[str, _Usage] = {}

    @property
    def has_usage(self) -> bool:
        """Whether any workspace with a limit was met."""
        return bool(self._usage)

    def admit(self, now_ms: float, name: str, limit: Limit) -> bool:
        """Count a request; return whether it is within the limit."""
        usage = self._usage.setdefault(name, _Usage(now_ms))
        usage.wanted += 1
        if self._is_on_its_own(usage, now_ms):
            is_admitted = self._take_own(usage, now_ms, limit)
        elif usage.permille >= ALL_PERMILLE:
            is_admitted = True
        else:
            is_admitted = self._random.random() * ALL_PERMILLE < usage.permille
        usage.used += is_admitted
        usage.has_admitted_unanswered |= is_admitted
        return is_admitted

    def known_of(self, now_ms: float, name: str) -> dict[str, object]:
        """Return what a refusal is based on, for a log line."""
        usage = self._usage[name]
        return {
            "admitted_permille": usage.permille,
            "told_ago_ms": round(now_ms - usage.told_ms),
            "is_on_its_own": self._is_on_its_own(usage, now_ms),
        }

    def shares(self, now_ms: float) -> list[KnownShare]:
        """Return what is known of each workspace."""
        return [
            KnownShare(
                name=name,
                permille=usage.permille,
                told_ago_ms=now_ms - usage.told_ms if usage.has_been_told else None,
                is_on_its_own=self._is_on_its_own(usage, now_ms),
            )
            for name, usage in self._usage.items()
        ]

    def use_permille(self, name: str) -> int:
        """Return the admitted demand as a part of the rate; the whole if never told.

        It exceeds the whole during a burst, and where targets refuse requests, as these
        are counted back.
        """
        usage = self._usage.get(name)
        if usage is None:
            return ALL_PERMILLE
        return usage.demand_permille * usage.permille // ALL_PERMILLE

    def give_back(self, name: str) -> None:
        """Take back the count of a request that did not run after all."""
        usage = self._usage.get(name)
        if usage is not None:
            usage.used -= 1

    def due(self, now_ms: float, limits: Callable[[str], Limit | None]) -> list[str]:
        """Return the workspaces whose use has to be reported now."""
        found = []
        for name, usage in list(self._usage.items()):
            limit = limits(name)
            if limit is None:
                del self._usage[name]
            elif usage.wanted and _is_due(usage, now_ms, limit):
                found.append(name)
        return found

    def take_report(self, now_ms: float, name: str) -> tuple[str, int, int]:
        """Return the use since the last report: admitted, and wanted."""
        usage = self._usage[name]
        entry = (name, usage.used, usage.wanted)
        usage.used = usage.wanted = 0
        usage.reported_ms = now_ms
        if usage.unanswered_since_ms is None:
            usage.unanswered_since_ms = now_ms
        return entry

    def receive(self, now_ms: float, shares: Iterable[tuple[str, int, int]]) -> None:
        """Apply the shares, and the demand, that a home has told."""
        for name, permille, demand_permille in shares:
            usage = self._usage.setdefault(name, _Usage(now_ms))
            usage.unanswered_since_ms = usage.own_at_ms = None
            usage.has_admitted_unanswered = False
            usage.permille = permille
            if demand_permille != DEMAND_UNKNOWN:
                usage.demand_permille = demand_permille
            usage.told_ms = now_ms
            usage.has_been_told = True

    def _is_on_its_own(self, usage: _Usage, now_ms: float) -> bool:
        since_ms = usage.unanswered_since_ms
        is_unanswered = since_ms is not None and now_ms - since_ms > ANSWER_TIMEOUT_MS
        is_limited = usage.permille < ALL_PERMILLE
        return is_unanswered or (is_limited and now_ms - usage.told_ms > SHARE_TTL_MS)

    def _take_own(self, usage: _Usage, now_ms: float, limit: Limit) -> bool:
        """Admit this node's equal part of the limit, as the home can't be reached."""
        part_per_s = OWN_PART * limit.rate_per_s / max(1, self._nodes())
        if usage.own_at_ms is None:
            usage.own_at_ms, usage.own_tokens = now_ms, 1.0
            if usage.has_admitted_unanswered:
                # The home has not counted those. Many nodes may be cut off together.
                usage.own_tokens = self._random.random()
        elapsed_s = (now_ms - usage.own_at_ms) / 1_000
        usage.own_at_ms = now_ms
        refilled = usage.own_tokens + elapsed_s * part_per_s
        usage.own_tokens = min(max(1.0, part_per_s), refilled)
        if usage.own_tokens < 1.0:
            return False
        usage.own_tokens -= 1.0
        return True


def _is_due(usage: _Usage, now_ms: float, limit: Limit) -> bool:
    since_ms = now_ms - usage.reported_ms
    if since_ms < URGENT_REPORT_MS:
        return False
    is_much = usage.wanted >= max(2.0, URGENT_SHARE * limit.burst)
    return is_much or since_ms >= REPORT_MS
