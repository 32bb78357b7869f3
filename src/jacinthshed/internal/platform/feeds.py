"""The store's two feeds: the policy and the targets."""

from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from ..discovery.feed import ApplyReading, Feed
from ..discovery.publication import Sinks
from .policy_document import POLICY_KEY
from .store import Store, StoreError, StoreErrorKind, StoreSnapshot
from .target_entries import TARGETS_PREFIX, parse_entry


def policy_feed(store: Store, sinks: Sinks) -> Feed:
    """Return the feed of the operators' configuration."""

    def take(reading: StoreSnapshot) -> None:
        for item in reading.items:
            if item.key == POLICY_KEY and item.value is not None:
                sinks.take_bundle(item.value)

    return _feed(store, POLICY_KEY, lambda: store.read(POLICY_KEY), take, take)


def targets_feed(store: Store, sinks: Sinks, peer_port: int) -> Feed:
    """Return the feed of the targets' entries."""

    def replace(reading: StoreSnapshot) -> None:
        entries = [parse_entry(item, peer_port) for item in reading.items]
        sinks.replace_targets(reading.revision, entries)

    def change(reading: StoreSnapshot) -> None:
        entries = [parse_entry(item, peer_port) for item in reading.items]
        sinks.change_targets(reading.revision, entries)

    return _feed(
        store,
        TARGETS_PREFIX,
        lambda: store.read_prefix(TARGETS_PREFIX),
        replace,
        change,
    )


def _feed(
    store: Store,
    prefix: str,
    read_now: Callable[[], Awaitable[Result[StoreSnapshot, StoreError]]],
    on_read: Callable[[StoreSnapshot], None],
    on_change: Callable[[StoreSnapshot], None],
) -> Feed:
    """Return a feed that remembers up to which revision it is complete."""
    revision = 0

    async def read() -> Result[ApplyReading, object]:
        nonlocal revision
        result = await read_now()
        if isinstance(result, Failure):
            return Failure(result.failure())
        reading = result.unwrap()
        revision = reading.revision
        return Success(lambda: on_read(reading))

    async def watch(wait_ms: int) -> Result[ApplyReading, object]:
        nonlocal revision
        result = await store.watch(prefix, revision, wait_ms)
        if isinstance(result, Failure):
            if result.failure().fault is StoreErrorKind.COMPACTED:
                return await read()
            return Failure(result.failure())
        reading = result.unwrap()
        revision = max(revision, reading.revision)
        return Success(lambda: on_change(reading))

    return Feed(prefix, read, watch)
