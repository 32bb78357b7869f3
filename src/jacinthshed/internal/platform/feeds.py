"""Feeds that read the policy and the targets from the platform's store."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from ..discovery.feed import ApplyReading, Feed
from ..discovery.publication import Sinks
from ..telemetry.log import LogDecision
from .policy_document import POLICY_KEY
from .store import StoreClient, StoreErrorKind, StoreItems
from .target_entries import TARGETS_PREFIX, parse_entry


def policy_feed(
    store: StoreClient,
    sinks: Sinks,
    log: LogDecision,
    *,
    starts_stale: bool = False,
) -> Feed:
    """Return the feed of the operators' configuration document.

    With ``starts_stale``, the first reading may be some seconds old.
    """

    def take(found: StoreItems) -> None:
        for item in found.items:
            if item.key == POLICY_KEY and item.value is not None:
                sinks.take_bundle(item.value)

    return _feed(store, POLICY_KEY, take, take, log, starts_stale)


def targets_feed(
    store: StoreClient,
    sinks: Sinks,
    log: LogDecision,
    peer_port: int,
    *,
    starts_stale: bool = False,
) -> Feed:
    """Return the feed of the targets' entries.

    ``peer_port`` is the port on which each node accepts links from its peers. With
    ``starts_stale``, the first reading may be some seconds old.
    """

    def replace(found: StoreItems) -> None:
        entries = [parse_entry(item, peer_port) for item in found.items]
        sinks.replace_targets(found.revision, entries)

    def change(found: StoreItems) -> None:
        entries = [parse_entry(item, peer_port) for item in found.items]
        sinks.change_targets(found.revision, entries)

    return _feed(store, TARGETS_PREFIX, replace, change, log, starts_stale)


def _feed(
    store: StoreClient,
    prefix: str,
    on_read: Callable[[StoreItems], None],
    on_change: Callable[[StoreItems], None],
    log: LogDecision,
    starts_stale: bool,
) -> Feed:
    """Return a feed that watches ``prefix`` from the revision of its last result.

    Everything is read again when the store no longer has the history that a watch
    needs. ``on_read`` gets what was read, ``on_change`` the changes. A prefix without
    items is a complete reading too: its first item is then a change.
    """
    revision = 0
    generation: int | None = None
    allow_stale = starts_stale

    def note_generation(found: StoreItems) -> None:
        nonlocal generation
        if generation is not None and found.generation != generation:
            log(
                "store_restored",
                key=prefix,
                generation=found.generation,
                revision=found.revision,
                revision_before=revision,
            )
        generation = found.generation

    async def read() -> Result[ApplyReading, object]:
        nonlocal revision, allow_stale
        result = await store.read_prefix(prefix, allow_stale)
        if isinstance(result, Failure):
            return Failure(result.failure())
        found = _outdated(result.unwrap()) if allow_stale else result.unwrap()
        note_generation(found)
        revision = found.revision
        allow_stale = False
        return Success(lambda: on_read(found))

    async def watch(wait_ms: int) -> Result[ApplyReading, object]:
        nonlocal revision
        result = await store.watch(prefix, revision, wait_ms)
        if isinstance(result, Failure):
            if result.failure().kind is StoreErrorKind.COMPACTED:
                return await read()
            return Failure(result.failure())
        found = result.unwrap()
        note_generation(found)
        revision = max(revision, found.revision)
        return Success(lambda: on_change(found))

    return Feed(prefix, read, watch)


def _outdated(found: StoreItems) -> StoreItems:
    """Return a reading that may be outdated with the revision of its newest item.

    The store's own revision may be above that of what it returned; a watch from there
    would miss the changes between them.
    """
    revision = max((item.revision for item in found.items), default=0)
    return found._replace(revision=revision)
