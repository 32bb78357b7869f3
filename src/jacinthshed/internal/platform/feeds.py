"""The store's two feeds: the policy and the targets."""

from collections.abc import Awaitable, Callable

from returns.result import Failure, Result, Success

from ..discovery.feed import ApplyReading, Feed
from ..discovery.publication import Sinks
from .desired_state import POLICY_KEY
from .store import Reading, Store, StoreError, StoreFault
from .target_entries import TARGETS_PREFIX, read_entry


def policy_feed(store: Store, sinks: Sinks) -> Feed:
    """Return the feed of the operators' configuration."""

    def take(reading: Reading) -> None:
        for item in reading.items:
            if item.key == POLICY_KEY and item.value is not None:
                sinks.take_bundle(item.value)

    return _feed(store, POLICY_KEY, lambda: store.read(POLICY_KEY), take, take)


def targets_feed(store: Store, sinks: Sinks, peer_port: int) -> Feed:
    """Return the feed of the targets' entries."""

    def replace(reading: Reading) -> None:
        entries = [read_entry(item, peer_port) for item in reading.items]
        sinks.replace_targets(reading.revision, entries)

    def change(reading: Reading) -> None:
        entries = [read_entry(item, peer_port) for item in reading.items]
        sinks.change_targets(reading.revision, entries)

    return _feed(
        store, TARGETS_PREFIX, lambda: store.read_all(TARGETS_PREFIX), replace, change
    )


def _feed(
    store: Store,
    prefix: str,
    read_now: Callable[[], Awaitable[Result[Reading, StoreError]]],
    on_read: Callable[[Reading], None],
    on_change: Callable[[Reading], None],
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
            if result.failure().fault is StoreFault.COMPACTED:
                return await read()
            return Failure(result.failure())
        reading = result.unwrap()
        revision = max(revision, reading.revision)
        return Success(lambda: on_change(reading))

    return Feed(prefix, read, watch)
