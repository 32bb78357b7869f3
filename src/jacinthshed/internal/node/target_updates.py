"""Applies updates of the targets from the source and from peers."""

from collections.abc import Callable, Sequence
from math import inf

import trio

from ..discovery.directory import Directory
from ..discovery.publication import Sinks
from ..discovery.source_revision import from_ordinal
from ..discovery.target_entry import EntryChange
from ..membership.host_list import ListedHost
from ..membership.listed_members import listed_hosts
from ..telemetry.log import LogDecision
from .clock import MS_PER_S, Clock
from .policy_holder import PolicyHolder

# In an outage no target can renew its entry, and entries expire after three heartbeat
# intervals of at least a second each.
EXPIRY_AFTER_MS = 3_000.0
# Targets whose entries expired in an outage are listed again within about this time.
RELIST_MS = 2_000.0
# A target that doesn't run, but is listed by a source restored from a copy, has expired
# there after this time, which exceeds three heartbeat intervals.
RELISTED_EXPIRY_MS = 15_000.0


class TargetUpdates:
    """Applies changes to the directory and notifies its subscribers.

    ``on_hosts`` is called with the hosts of all targets, ``on_services`` with the
    services whose targets changed. After a long outage of the source, updates are
    deferred until live targets have had time to list themselves again; otherwise they
    would appear to have left. So are complete lists, and what follows them, after the
    source was restored from a copy. Changes that a peer has applied are applied at
    once; they contain no removals that the peer would have deferred.
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
        self._generation = 0
        self._relisted_at_ms = -inf
        self._apply_at_ms = inf
        self._deferred: list[Callable[[], list[str]]] = []
        self._release_at_ms = inf
        self._release_generation = 0
        self._wake = trio.Event()

    def replace(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Apply a complete list of targets as of ``revision``."""
        self._note_generation(revision)
        if self._clock.now_ms() < self._relisted_at_ms:
            self._defer_until(self._relisted_at_ms, outage_ms=0.0)
        self._apply_or_defer(lambda: self._directory.replace(revision, changes))

    def change(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Apply changes, complete up to ``revision``."""
        self._note_generation(revision)
        self._apply_or_defer(lambda: self._directory.apply(revision, changes))

    def source_recovered(self, outage_ms: float) -> None:
        """Defer updates for a while if the source's outage was long."""
        if outage_ms >= EXPIRY_AFTER_MS and self._directory.revision:
            relisted_at_ms = self._clock.now_ms() + RELIST_MS
            self._defer_until(relisted_at_ms, outage_ms=outage_ms)

    def _note_generation(self, revision: int) -> None:
        """Record when a restore of the source became known, from it or from a peer."""
        generation = from_ordinal(revision).generation
        if generation <= self._generation:
            return
        self._generation = generation
        if self._directory.revision:
            self._relisted_at_ms = self._clock.now_ms() + RELIST_MS

    def _defer_until(self, apply_at_ms: float, *, outage_ms: float) -> None:
        if self._apply_at_ms < inf:
            apply_at_ms = max(apply_at_ms, self._apply_at_ms)
        self._apply_at_ms = apply_at_ms
        for_ms = round(apply_at_ms - self._clock.now_ms())
        self._log("targets_held", outage_ms=round(outage_ms), for_ms=for_ms)
        self._wake.set()

    async def run(self) -> None:
        """Apply deferred updates, and release targets, when due; until cancelled."""
        while True:
            wait_ms = min(self._apply_at_ms, self._release_at_ms) - self._clock.now_ms()
            with trio.move_on_after(max(0.0, wait_ms) / MS_PER_S):
                await self._wake.wait()
            self._wake = trio.Event()
            now_ms = self._clock.now_ms()
            if now_ms >= self._apply_at_ms:
                self._apply_deferred()
            if now_ms >= self._release_at_ms:
                self._release_at_ms = inf
                self._notify(self._directory.release_relisted())

    def _apply_deferred(self) -> None:
        self._apply_at_ms = inf
        services: dict[str, None] = {}
        for apply in self._deferred:
            services.update(dict.fromkeys(apply()))
        self._deferred.clear()
        self._notify(list(services))

    def _apply_or_defer(self, apply: Callable[[], list[str]]) -> None:
        if self._apply_at_ms < inf:
            self._deferred.append(apply)
        else:
            self._notify(apply())

    def _notify(self, services: list[str]) -> None:
        generation, revision = from_ordinal(self._directory.revision)
        # After another restore, entries take as long to expire again.
        is_later = generation > self._release_generation
        if self._directory.has_relisted and (is_later or self._release_at_ms == inf):
            self._release_generation = generation
            self._release_at_ms = self._clock.now_ms() + RELISTED_EXPIRY_MS
            self._wake.set()
        if not services:
            return
        self._log(
            "targets_changed",
            generation=generation,
            revision=revision,
            services=services,
        )
        self._on_hosts(listed_hosts(self._directory))
        self._on_services(services)


def make_sinks(
    holder: PolicyHolder,
    updates: TargetUpdates,
    take_hosts: Callable[[Sequence[ListedHost]], None],
) -> Sinks:
    """Return the receivers of what the feeds read."""

    def take_bundle(document: bytes) -> None:
        holder.offer(document, "platform")

    return Sinks(take_bundle, take_hosts, updates.replace, updates.change)
