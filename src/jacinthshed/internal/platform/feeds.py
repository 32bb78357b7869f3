"""Feeds that read the policy and the targets from the platform's store."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from ..discovery.feed import ApplyReading, Feed
from ..discovery.publication import Sinks
from ..discovery.source_revision import SourceRevision, from_ordinal, to_ordinal
from ..telemetry.log import LogDecision
from .policy_document import POLICY_KEY
from .store import Item, StoreClient, StoreErrorKind, StoreItems
from .target_entries import TARGETS_PREFIX, parse_entry

# Enough to recognize an entry; the lines of all ignored entries stay short.
MAX_LOGGED_BYTES = 300

_HISTORY_LOST = (StoreErrorKind.COMPACTED, StoreErrorKind.RESTORED)


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

    feed = _StoreFeed(
        store=store,
        prefix=POLICY_KEY,
        on_read=take,
        on_change=take,
        log=log,
        starts_stale=starts_stale,
    )
    return Feed(POLICY_KEY, feed.read, feed.watch)


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

    def log_ignored(item: Item, reason: str) -> None:
        value = (item.value or b"")[:MAX_LOGGED_BYTES].decode("utf-8", "replace")
        log("target_entry_ignored", key=item.key, value=value, reason=reason)

    def replace(found: StoreItems) -> None:
        entries = [parse_entry(item, peer_port, log_ignored) for item in found.items]
        sinks.replace_targets(found.revision, entries)

    def change(found: StoreItems) -> None:
        entries = [parse_entry(item, peer_port, log_ignored) for item in found.items]
        sinks.change_targets(found.revision, entries)

    feed = _StoreFeed(
        store=store,
        prefix=TARGETS_PREFIX,
        on_read=replace,
        on_change=change,
        log=log,
        starts_stale=starts_stale,
    )
    return Feed(TARGETS_PREFIX, feed.read, feed.watch)


class _StoreFeed:
    """Reads and watches ``prefix`` from the revision of its last result.

    Everything is read again when the store no longer has the history that a watch
    needs, or was restored from a copy, which gives revisions out again. ``on_read``
    gets what was read, ``on_change`` the changes. A prefix without items is a complete
    reading too: its first item is then a change.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        prefix: str,
        on_read: Callable[[StoreItems], None],
        on_change: Callable[[StoreItems], None],
        log: LogDecision,
        starts_stale: bool,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_read = on_read
        self._on_change = on_change
        self._log = log
        self._allow_stale = starts_stale
        self._revision = 0
        # A store that was restored while it could not be reached may have given out the
        # watched revision again; it then answers only when the wait is over.
        self._may_wait = True

    async def read(self) -> Result[ApplyReading, object]:
        """Read all items."""
        result = await self._store.read_prefix(self._prefix, self._allow_stale)
        if isinstance(result, Failure):
            return Failure(result.failure())
        found = _outdated(result.unwrap()) if self._allow_stale else result.unwrap()
        if _is_restored(self._revision, found.revision):
            self._log_restored(found.revision)
        self._revision = found.revision
        self._allow_stale = False
        self._may_wait = True
        return Success(lambda: self._on_read(found))

    async def watch(self, wait_ms: int) -> Result[ApplyReading, object]:
        """Wait for changes; read all items if the history of changes is lost."""
        wait_ms = wait_ms if self._may_wait else 0
        result = await self._store.watch(self._prefix, self._revision, wait_ms)
        self._may_wait = not isinstance(result, Failure)
        if isinstance(result, Failure):
            if result.failure().kind in _HISTORY_LOST:
                return await self.read()
            return Failure(result.failure())
        found = result.unwrap()
        self._revision = max(self._revision, found.revision)
        return Success(lambda: self._on_change(found))

    def _log_restored(self, found_revision: int) -> None:
        generation, revision = from_ordinal(found_revision)
        self._log(
            "store_restored",
            key=self._prefix,
            generation=generation,
            revision=revision,
            revision_before=from_ordinal(self._revision).revision,
        )


def _is_restored(before: int, after: int) -> bool:
    """Return whether the store was restored between two revisions; 0 is none."""
    generation = from_ordinal(after).generation
    return before != 0 and generation > from_ordinal(before).generation


def _outdated(found: StoreItems) -> StoreItems:
    """Return a reading that may be outdated with the revision of its newest item.

    The store's own revision may be above that of what it returned; a watch from there
    would miss the changes between them.
    """
    generation = from_ordinal(found.revision).generation
    first = to_ordinal(SourceRevision(generation, 0))
    revision = max((item.revision for item in found.items), default=first)
    return found._replace(revision=revision)
