"""Takes in what is said of the targets, from outside and by peers."""

from collections.abc import Callable, Sequence

import trio

from ..discovery.directory import Directory
from ..discovery.publication import Sinks
from ..discovery.target_entry import EntryChange
from ..membership.host_list import ListedHost
from ..membership.listed_members import listed_hosts
from ..telemetry.log import LogDecision
from .clock import MS_PER_S, Clock
from .policy_holder import PolicyHolder

# Entries that nobody can renew expire after three heartbeats of a second or more.
EXPIRY_AFTER_MS = 3_000.0
# Targets whose entries expired meanwhile are listed again within about this time.
RETURN_MS = 2_000.0


class TargetNews:
    """Hands changes of the directory to those who follow it.

    ``on_hosts`` hears the hosts of all targets, ``on_services`` the services whose
    targets changed. After a long outage of the source its news wait until targets that
    live had time to list themselves again: else all would seem to have left.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        clock: Clock,
        on_hosts: Callable[[Sequence[ListedHost]], None],
        on_services: Callable[[Sequence[str]], None],
        log: LogDecision,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._on_hosts = on_hosts
        self._on_services = on_services
        self._log = log
        self._held_until_ms = float("-inf")
        self._held: list[Callable[[], list[str]]] = []
        self._wake = trio.Event()

    def replace(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Take a full reading as of ``revision``."""
        self._take(lambda: self._directory.replace(revision, changes))

    def change(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Take changes, complete up to ``revision``."""
        self._take(lambda: self._directory.apply(revision, changes))

    def regained(self, outage_ms: float) -> None:
        """Note that the source answers again after ``outage_ms``."""
        if outage_ms < EXPIRY_AFTER_MS or not self._directory.revision:
            return
        self._held_until_ms = self._clock.now_ms() + RETURN_MS
        self._log("targets_held", outage_ms=round(outage_ms), for_ms=RETURN_MS)
        self._wake.set()

    async def run(self) -> None:
        """Hand on what was held when its time has come, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            wait_ms = self._held_until_ms - self._clock.now_ms()
            await trio.sleep(max(0.0, wait_ms) / MS_PER_S)
            services: dict[str, None] = {}
            for take in self._held:
                services.update(dict.fromkeys(take()))
            self._held.clear()
            self._tell(list(services))

    def _take(self, take: Callable[[], list[str]]) -> None:
        if self._clock.now_ms() < self._held_until_ms:
            self._held.append(take)
        else:
            self._tell(take())

    def _tell(self, services: list[str]) -> None:
        if not services:
            return
        self._log(
            "targets_changed", revision=self._directory.revision, services=services
        )
        self._on_hosts(listed_hosts(self._directory))
        self._on_services(services)


def make_sinks(
    holder: PolicyHolder,
    news: TargetNews,
    take_hosts: Callable[[Sequence[ListedHost]], None],
) -> Sinks:
    """Return what the feeds of a node bring their readings to."""

    def take_bundle(document: bytes) -> None:
        holder.offer(document, "platform")

    return Sinks(take_bundle, take_hosts, news.replace, news.change)
