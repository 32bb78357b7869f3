"""Accounts for the use of workspaces at their home, over all nodes together.

Load pattern: a workspace sends ten times its usual requests, a few at each of many
nodes. No node sees that the limit is exceeded, and equal parts of the limit would
refuse requests inside it wherever callers are uneven.
"""

from collections import deque
from collections.abc import Callable
from math import inf, sqrt
from typing import NamedTuple

from ..wire.usage import ALL_PERMILLE, DEMAND_UNKNOWN
from .fair_share import part_of_rate_permille

# Demand is measured over this time.
DEMAND_MS = 2_000.0
# What is left of the burst may be used in this time, and debt is paid back in that.
BURST_S, DEBT_S = 1.0, 2.0
# While not all requests may be admitted, all nodes are told as often: a node that has
# not met the workspace yet would admit its first request.
TELL_MS = 250.0
# Seconds of the rate that the bucket holds at least, also with a small burst.
MIN_BURST_S = 0.5
# The operators count a limit as exceeded from some requests above it. A part of them is
# given, since a small burst would be used up by chance.
EXTRA_TOKENS = 5.0
# The share is slightly below what the demand gives, as the demand is known late.
CAUTION = 0.95
# The demand that orders requests is measured over the first of these times with so many
# requests. Over 2 s alone, a workspace that began to send ten times its usual load cost
# others the requests of 0.8 s instead of 0.4 s, and one that sent a request a second
# lost a third of them, as its demand seemed by chance several times its mean.
DEMAND_WINDOWS_MS = (250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0)
WINDOW_REQUESTS = 32
# All nodes are told soon of a use that exceeds the rate, and rose by this factor.
USE_RISE = 1.5
# Most nodes have not met a workspace that sends little, or not since its demand fell.
# All are told of it this long after the first report, and after the last news.
TELL_AGAIN_MS = (DEMAND_MS, DEMAND_WINDOWS_MS[-1])


class Limit(NamedTuple):
    """Limit of a workspace at all nodes together."""

    rate_per_s: float
    burst: float


class _Account:
    """Tokens of one workspace, negative after more use than they allowed."""

    def __init__(self, now_ms: float, limit: Limit) -> None:
        # A new home may follow one that has admitted the whole burst.
        self.tokens = limit.rate_per_s * MIN_BURST_S + EXTRA_TOKENS
        self.at_ms = self.told_ms = now_ms
        self.started_ms = self.told_demand_ms = now_ms
        self.told_use = ALL_PERMILLE
        self.tell_again_ms = [now_ms + after_ms for after_ms in TELL_AGAIN_MS]
        self.permille = self.told = ALL_PERMILLE
        self.wanted: deque[tuple[float, int]] = deque()
        self.wanted_recently: deque[tuple[float, int]] = deque()
        self.sum_recently = 0


class UsageHome:
    """Counts the use that nodes report, and derives the share that is within limits."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    @property
    def has_accounts(self) -> bool:
        """Whether any use was reported to this home."""
        return bool(self._accounts)

    def report(
        self, now_ms: float, name: str, limit: Limit, used: int, wanted: int
    ) -> tuple[str, int, int]:
        """Record a report; return the entry of ``UsageShare`` for the workspace."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(now_ms, limit)
        _count(account, now_ms, wanted)
        _refill(account, now_ms, limit)
        account.tokens -= used
        account.permille = _share_permille(account, now_ms, limit)
        return (name, account.permille, _demand_permille(account, now_ms, limit))

    def due(
        self, now_ms: float, limits: Callable[[str], Limit | None]
    ) -> list[tuple[str, int, int]]:
        """Return the entries of ``UsageShare`` that all nodes are told now."""
        found = []
        for name, account in list(self._accounts.items()):
            limit = limits(name)
            if limit is None:
                del self._accounts[name]
                continue
            # The end of a limitation is told too, also if no more requests come.
            is_limited = min(account.permille, account.told) < ALL_PERMILLE
            is_share_due = is_limited and now_ms - account.told_ms >= TELL_MS
            if is_share_due:
                _refill(account, now_ms, limit)
                account.permille = _share_permille(account, now_ms, limit)
                account.told_ms = now_ms
                account.told = account.permille
            demand = _demand_permille(account, now_ms, limit)
            is_news = is_share_due or _is_use_rising(account, now_ms, demand)
            if is_news:
                account.tell_again_ms = [now_ms + after for after in TELL_AGAIN_MS]
            if is_news or now_ms >= min(account.tell_again_ms, default=inf):
                _record_told(account, now_ms, demand)
                found.append((name, account.permille, demand))
        return found

    def forget(self) -> None:
        """Drop all accounts, as this node is not a home any more."""
        self._accounts.clear()


def _is_use_rising(account: _Account, now_ms: float, demand_permille: int) -> bool:
    use = _use_permille(account, demand_permille)
    is_due = now_ms - account.told_demand_ms >= TELL_MS
    return is_due and use > USE_RISE * account.told_use


def _record_told(account: _Account, now_ms: float, demand_permille: int) -> None:
    account.told_demand_ms = now_ms
    account.told_use = max(ALL_PERMILLE, _use_permille(account, demand_permille))
    account.tell_again_ms = [at for at in account.tell_again_ms if at > now_ms]


def _use_permille(account: _Account, demand_permille: int) -> int:
    """Return the part of the rate that nodes admit of this demand."""
    return demand_permille * account.permille // ALL_PERMILLE


def _count(account: _Account, now_ms: float, wanted: int) -> None:
    account.wanted_recently.append((now_ms, wanted))
    account.sum_recently += wanted
    account.wanted.append((now_ms, wanted))
    while account.wanted[0][0] < now_ms - DEMAND_MS:
        # A report is of one request at least, so that these entries are enough.
        is_needed = len(account.wanted) <= WINDOW_REQUESTS
        if is_needed and account.wanted[0][0] >= now_ms - DEMAND_WINDOWS_MS[-1]:
            break
        account.wanted.popleft()


def _refill(account: _Account, now_ms: float, limit: Limit) -> None:
    capacity = max(limit.burst, limit.rate_per_s * MIN_BURST_S) + EXTRA_TOKENS
    refill = max(0.0, now_ms - account.at_ms) / 1_000 * limit.rate_per_s
    account.at_ms = now_ms
    account.tokens = min(capacity, account.tokens + refill)


def _recent_demand_per_s(account: _Account, now_ms: float) -> float:
    recent, oldest_ms = account.wanted_recently, now_ms - DEMAND_MS
    while recent and recent[0][0] < oldest_ms:
        account.sum_recently -= recent.popleft()[1]
    return account.sum_recently * 1_000 / DEMAND_MS


def _wanted_within(account: _Account, now_ms: float, window_ms: float) -> int:
    """Return how many requests were wanted in this time, admitted or not."""
    counted = 0
    oldest_ms = now_ms - window_ms
    for at_ms, wanted in reversed(account.wanted):
        if at_ms < oldest_ms:
            break
        counted += wanted
    return max(0, counted)


def _demand_permille(account: _Account, now_ms: float, limit: Limit) -> int:
    """Return the demand as a part of the rate, or ``DEMAND_UNKNOWN``."""
    age_ms = now_ms - account.started_ms
    # Less was counted here than was wanted if the home has changed within this time.
    if age_ms < DEMAND_MS:
        return DEMAND_UNKNOWN
    most_per_s = inf
    for window_ms in DEMAND_WINDOWS_MS:
        counted = _wanted_within(account, now_ms, window_ms)
        window_s = min(window_ms, age_ms) / 1_000
        # A demand that has fallen shows in the short windows first.
        most_per_s = min(most_per_s, (counted + 2 * sqrt(counted) + 2) / window_s)
        if counted >= WINDOW_REQUESTS:
            break
    demand_per_s = min(most_per_s, counted / window_s)
    return part_of_rate_permille(demand_per_s, limit.rate_per_s)


def _share_permille(account: _Account, now_ms: float, limit: Limit) -> int:
    demand = _recent_demand_per_s(account, now_ms)
    settle_s = BURST_S if account.tokens > 0 else DEBT_S
    allowed = limit.rate_per_s + account.tokens / settle_s
    if demand <= CAUTION * allowed:
        return ALL_PERMILLE
    return int(ALL_PERMILLE * max(0.0, CAUTION * allowed / demand))
