"""Exchanges the use of workspaces with their homes."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from random import Random

import trio

from ..bundle.model import Workspace
from ..routing.rendezvous import score
from ..telemetry.log import LogDecision
from ..verdict import Reason, Refusal, Verdict
from ..wire.usage import ALL_PERMILLE, UsageReport, UsageShare
from .status import WorkspaceStatus, workspace_statuses
from .usage import UsageLimiter
from .usage_home import Limit, UsageHome

TICK_S = 0.1
# Each workspace has one of as many homes, so that a node keeps few links for this.
HOMES = 3
# After a change of the members, homes move within this time.
HOMES_TTL_MS = 1_000.0
# By then the home has counted the requests of other nodes, and told the share.
RETRY_AFTER_MS = 500
# Refused requests don't come back together.
RETRY_SPREAD = 2.0

_DETAIL = "the workspace has used up its limit of requests"
Frame = UsageReport | UsageShare


class UsageExchange:
    """Counts the requests of workspaces with a limit, together with all other nodes.

    ``hosts`` returns the live hosts that can be reached, with this one, ``limits`` the
    limit of a workspace by the policy in force, or ``None`` without one. ``send`` takes
    a host and a frame.
    """

    def __init__(
        self,
        *,
        own_host: str,
        hosts: Callable[[], Sequence[str]],
        limits: Callable[[str], Limit | None],
        send: Callable[[str, Frame], None],
        now_ms: Callable[[], float],
        random: Random,
        log: LogDecision,
    ) -> None:
        self._own_host = own_host
        self._hosts = hosts
        self._limits = limits
        self._send = send
        self._now_ms = now_ms
        self._random = random
        self._log = log
        self._limiter = UsageLimiter(nodes=lambda: len(hosts()), random=random)
        self._home = UsageHome()
        self._homes: list[str] = []
        self._homes_at_ms = float("-inf")
        self._active = trio.Event()

    def admit(self, name: str) -> Refusal | None:
        """Count a request of workspace ``name``; return its refusal over the limit."""
        limit = self._limits(name)
        if limit is not None:
            self._active.set()
        if limit is None or self._limiter.admit(self._now_ms(), name, limit):
            return None
        spread = 1 + RETRY_SPREAD * self._random.random()
        retry_ms = int(RETRY_AFTER_MS * spread)
        known = self._limiter.known_of(self._now_ms(), name)
        self._log("usage_refused", workspace=name, retry_after_ms=retry_ms, **known)
        return Refusal(Verdict.NOT_RUN, Reason.USAGE_LIMIT, retry_ms, _DETAIL)

    def use_permille(self, name: str) -> int:
        """Return the used part of the rate; the whole if unknown or without a limit."""
        if self._limits(name) is None:
            return ALL_PERMILLE
        return self._limiter.use_permille(name)

    def give_back(self, name: str) -> None:
        """Take back the count of a request that did not run after all."""
        self._limiter.give_back(name)

    async def run(self) -> None:
        """Report use when it is due, until cancelled.

        A node without workspaces that have a limit is not woken up.
        """
        while True:
            await self._active.wait()
            await trio.sleep(TICK_S)
            self.tick()
            if not self._limiter.has_usage and not self._home.has_accounts:
                self._active = trio.Event()

    def tick(self) -> None:
        """Report the use that is due to the homes."""
        now_ms = self._now_ms()
        reports: dict[str, list[tuple[str, int, int]]] = defaultdict(list)
        for name in self._limiter.due(now_ms, self._limits):
            entry = self._limiter.take_report(now_ms, name)
            reports[self._home_of(now_ms, name)].append(entry)
        self._tell_shares(now_ms)
        for host, entries in reports.items():
            report = UsageReport(tuple(entries))
            if host == self._own_host:
                self.receive_share(self.answer(report))
            else:
                self._send(host, report)

    def _tell_shares(self, now_ms: float) -> None:
        shares = self._home.due(now_ms, self._limits)
        if not shares:
            return
        self.receive_share(UsageShare(tuple(shares)))
        for host in self._hosts():
            if host != self._own_host:
                self._send(host, UsageShare(tuple(shares)))

    def answer(self, report: UsageReport) -> UsageShare:
        """Return the answer to a node's report."""
        self._active.set()
        now_ms = self._now_ms()
        shares = []
        for name, used, wanted in report.entries:
            limit = self._limits(name)
            if limit is not None:
                shares.append(self._home.report(now_ms, name, limit, used, wanted))
        return UsageShare(tuple(shares))

    def receive_share(self, share: UsageShare) -> None:
        """Apply the answer of a home."""
        self._limiter.receive(self._now_ms(), share.entries)

    def statuses(self) -> list[WorkspaceStatus]:
        """Return the workspaces with a limit that this node has met, for its status."""
        now_ms = self._now_ms()
        shares = self._limiter.shares(now_ms)
        limited = [share for share in shares if self._limits(share.name) is not None]
        if not limited:
            return []
        # Homes that are no longer in force are only replaced when use is reported.
        are_in_force = now_ms - self._homes_at_ms <= HOMES_TTL_MS
        homes = self._homes if are_in_force else self._choose_homes()
        return workspace_statuses(limited, lambda name: homes[_home_number(name)])

    def _home_of(self, now_ms: float, name: str) -> str:
        if now_ms - self._homes_at_ms > HOMES_TTL_MS:
            self._homes_at_ms = now_ms
            self._homes = self._choose_homes()
            if self._own_host not in self._homes:
                self._home.forget()
        return self._homes[_home_number(name)]

    def _choose_homes(self) -> list[str]:
        return [self._choose_home(number) for number in range(HOMES)]

    def _choose_home(self, number: int) -> str:
        """Return the host that nodes with the same view choose for homes ``number``."""
        hosts = {self._own_host, *self._hosts()}
        return min(hosts, key=lambda host: (score(f"usage-{number}", host), host))


def _home_number(name: str) -> int:
    return score("usage", name) % HOMES


def limit_of(workspace: Workspace | None) -> Limit | None:
    """Return the limit of ``workspace``, or ``None`` if it has none."""
    if workspace is None or workspace.rate_per_s <= 0:
        return None
    return Limit(workspace.rate_per_s, workspace.burst)
