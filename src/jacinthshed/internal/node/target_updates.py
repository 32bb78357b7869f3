"""Applies updates of the targets from the source and from peers."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from math import inf

import trio

from ..bundle.read_scheduler import RELIST_MS
from ..discovery.directory import Directory
from ..discovery.publication import Sinks
from ..discovery.source_revision import from_ordinal
from ..discovery.target_entry import EntryChange
from ..membership.host_list import ListedHost
from ..membership.listed_members import listed_hosts
from ..telemetry.log import LogDecision
from .clock import MS_PER_S, Clock
from .policy_holder import PolicyHolder

# A target that doesn't run, but is listed by a source restored from a copy, has expired
# there after this time, which exceeds three heartbeat intervals.
RELISTED_EXPIRY_MS = 15_000.0
# An outage that is long enough removes most entries. If no more than this share of a
# service's targets is gone, or one of several, they are taken to have left.
MAX_LEFT_SHARE = 0.25


class TargetUpdates:
    """Applies changes to the directory and notifies its subscribers.

    ``on_hosts`` is called with the hosts of all targets, ``on_services`` with the
    services whose targets changed.

    A reading soon after an outage of the source, or after the source was restored from
    a copy, lacks live targets which have yet to list themselves again. If it lacks many
    of a service, none is removed because of it, and everything is read again later. A
    complete list from a
    peer may be such a reading, too: a target has to be missing for some time.
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
        self._complete_from_ms = -inf
        self._is_incomplete = False
        self._removed_early: Counter[str] = Counter()
        self._read_again_ms: float | None = None
        self._missing_since_ms: dict[str, float] = {}
        self._release_at_ms = inf
        self._release_generation = 0
        self._wake = trio.Event()

    def source_answered(self, complete_from_ms: float) -> None:
        """Record when a reading like the next one shows which targets are gone."""
        if complete_from_ms > self._complete_from_ms:
            self._removed_early.clear()
        self._complete_from_ms = complete_from_ms

    def take_read_again_ms(self) -> float | None:
        """Return when all has to be read again, if the last reading was incomplete."""
        read_again_ms, self._read_again_ms = self._read_again_ms, None
        return read_again_ms

    def replace(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Apply a complete list of targets as of ``revision``."""
        self._note_generation(revision)
        if self._directory.revision and self._clock.now_ms() < self._relisted_at_ms:
            self._merge(changes, max(self._complete_from_ms, self._relisted_at_ms))
            return
        listed = {change.key for change in changes if change.entry is not None}
        if self._are_held(self._keys() - listed):
            self._merge(changes, self._complete_from_ms)
            return
        self._is_incomplete = False
        self._notify(self._directory.replace(revision, changes))

    def change(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Apply changes, complete up to ``revision``."""
        self._note_generation(revision)
        if self._is_incomplete:
            self._notify(self._directory.merge(_listed(changes)))
        elif self._are_held({c.key for c in changes if c.entry is None}):
            self._merge(changes, self._complete_from_ms)
        else:
            self._notify(self._directory.apply(revision, changes))

    def change_by_peer(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Apply changes up to ``revision`` that a peer has applied."""
        self._note_generation(revision)
        self._notify(self._directory.apply(revision, changes))

    def replace_by_peer(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Apply a peer's complete list of targets as of ``revision``."""
        self._note_generation(revision)
        now_ms = self._clock.now_ms()
        listed = {change.key for change in changes}
        missing = self._directory.missing_from(revision, listed)
        self._missing_since_ms = {
            key: self._missing_since_ms.get(key, now_ms) for key in missing
        }
        if all(
            now_ms - at_ms >= RELIST_MS for at_ms in self._missing_since_ms.values()
        ):
            self._missing_since_ms = {}
            self._notify(self._directory.replace(revision, changes))
        else:
            self._notify(self._directory.merge(changes))

    def _keys(self) -> set[str]:
        return {change.key for change in self._directory.listed_changes()}

    def _are_held(self, gone: Collection[str]) -> bool:
        """Return whether the targets ``gone`` may only have expired in an outage."""
        now_ms = self._clock.now_ms()
        if not self._directory.revision or now_ms >= self._complete_from_ms:
            return False
        known, lost = Counter(self._removed_early), Counter(self._removed_early)
        for change in self._directory.listed_changes():
            assert change.entry is not None
            known[change.entry.service] += 1
            lost[change.entry.service] += change.key in gone
        for service, count in lost.items():
            limit = max(1, int(known[service] * MAX_LEFT_SHARE))
            if count and (count > limit or count == known[service]):
                return True
        self._removed_early = lost
        return False

    def _merge(self, changes: Sequence[EntryChange], complete_from_ms: float) -> None:
        self._is_incomplete = True
        self._read_again_ms = complete_from_ms
        for_ms = round(complete_from_ms - self._clock.now_ms())
        self._log("targets_held", for_ms=for_ms)
        self._notify(self._directory.merge(_listed(changes)))

    def _note_generation(self, revision: int) -> None:
        """Record when a restore of the source became known, from it or from a peer."""
        generation = from_ordinal(revision).generation
        if generation <= self._generation:
            return
        self._generation = generation
        if self._directory.revision:
            self._relisted_at_ms = self._clock.now_ms() + RELIST_MS

    async def run(self) -> None:
        """Release targets when due, until cancelled."""
        while True:
            wait_ms = self._release_at_ms - self._clock.now_ms()
            with trio.move_on_after(max(0.0, wait_ms) / MS_PER_S):
                await self._wake.wait()
            self._wake = trio.Event()
            if self._clock.now_ms() >= self._release_at_ms:
                self._release_at_ms = inf
                self._notify(self._directory.release_relisted())

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


def _listed(changes: Sequence[EntryChange]) -> list[EntryChange]:
    return [change for change in changes if change.entry is not None]


def make_sinks(
    holder: PolicyHolder,
    updates: TargetUpdates,
    take_hosts: Callable[[Sequence[ListedHost]], None],
) -> Sinks:
    """Return the receivers of what the feeds read."""

    def take_bundle(document: bytes) -> None:
        holder.offer(document, "platform")

    return Sinks(take_bundle, take_hosts, updates.replace, updates.change)
