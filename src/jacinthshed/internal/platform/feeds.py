"""Feeds that read the policy and the targets from the platform's store."""

from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from ..discovery.feed import ApplyReading, Feed
from ..discovery.publication import Sinks
from .policy_document import POLICY_KEY
from .store import StoreClient, StoreError, StoreErrorKind, StoreItems
from .target_entries import TARGETS_PREFIX, parse_entry


def policy_feed(store: StoreClient, sinks: Sinks) -> Feed:
    """Return the feed of the operators' configuration document."""

    def take(found: StoreItems) -> None:
        for item in found.items:
            if item.key == POLICY_KEY and item.value is not None:
                sinks.take_bundle(item.value)

    return _feed(store, POLICY_KEY, lambda: store.read(POLICY_KEY), take, take)


def targets_feed(store: StoreClient, sinks: Sinks, peer_port: int) -> Feed:
    """Return the feed of the targets' entries.

    ``peer_port`` is the port on which each node accepts links from its peers.
    """

    def replace(found: StoreItems) -> None:
        entries = [parse_entry(item, peer_port) for item in found.items]
        sinks.replace_targets(found.revision, entries)

    def change(found: StoreItems) -> None:
        entries = [parse_entry(item, peer_port) for item in found.items]
        sinks.change_targets(found.revision, entries)

    return _feed(
        store,
        TARGETS_PREFIX,
        lambda: store.read_prefix(TARGETS_PREFIX),
        replace,
        change,
    )


def _feed(
    store: StoreClient,
    prefix: str,
    read_now: Callable[[], Awaitable[Result[StoreItems, StoreError]]],
    on_read: Callable[[StoreItems], None],
    on_change: Callable[[StoreItems], None],
) -> Feed:
    """Return a feed that watches from the revision of its last result.

    ``read_now`` reads everything; it is called again when the store no longer has the
    history that a watch needs. ``on_read`` gets its result, ``on_change`` the changes.
    """
    revision = 0

    async def read() -> Result[ApplyReading, object]:
        nonlocal revision
        result = await read_now()
        if isinstance(result, Failure):
            return Failure(result.failure())
        found = result.unwrap()
        revision = found.revision
        return Success(lambda: on_read(found))

    async def watch(wait_ms: int) -> Result[ApplyReading, object]:
        nonlocal revision
        result = await store.watch(prefix, revision, wait_ms)
        if isinstance(result, Failure):
            if result.failure().kind is StoreErrorKind.COMPACTED:
                return await read()
            return Failure(result.failure())
        found = result.unwrap()
        revision = max(revision, found.revision)
        return Success(lambda: on_change(found))

    return Feed(prefix, read, watch)
