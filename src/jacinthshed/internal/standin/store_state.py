"""State of the stand-in store: keys with revisions, and the history of changes."""

import base64
from collections import deque
from enum import StrEnum
from typing import Any, NamedTuple

import trio


class StoreFaultMode(StrEnum):
    """Fault that the store injects into one connection instead of serving it."""

    BUSY = "busy"
    MANY = "many"
    CLOSED = "closed"
    SILENT = "silent"
    CUT_SHORT = "cut-short"


class StoredItem(NamedTuple):
    """The value of a key, or ``None`` if deleted, and the revision of the change."""

    key: str
    revision: int
    value: bytes | None

    def as_json(self) -> dict[str, Any]:
        """Return the item in the JSON form of the store's API."""
        if self.value is None:
            return {"key": self.key, "rev": self.revision, "tombstone": True}
        text = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "rev": self.revision,
            "created_rev": self.revision,
            "lease": 0,
            "value": text,
        }


class StoreCopy(NamedTuple):
    """A copy of the items and the history of a store at ``revision``."""

    revision: int
    items: dict[str, StoredItem]
    history: list[StoredItem]
    compacted_revision: int


class StoreState:
    """Items by key, the history of changes, and the faults to inject.

    The next connections get the ``faults`` in order. ``page_items`` is the maximum
    number of items in one page of a range read. ``era`` counts the restores.
    """

    def __init__(self, *, page_items: int = 500) -> None:
        self.page_items = page_items
        self.era = 0
        self.revision = 1
        self.items: dict[str, StoredItem] = {}
        self.faults: deque[StoreFaultMode] = deque()
        self.calls: list[str] = []
        self._history: list[StoredItem] = []
        self._compacted_revision = 0
        self._changed = trio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Store ``value`` under ``key`` with a new revision."""
        self._change(key, value)

    def delete(self, key: str) -> None:
        """Delete ``key`` with a new revision."""
        self._change(key, None)
        del self.items[key]

    def compact(self) -> None:
        """Discard the history; watches from an earlier revision then get status 410."""
        self._compacted_revision = self.revision
        self._history.clear()
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy for ``restore``."""
        return StoreCopy(
            self.revision,
            dict(self.items),
            list(self._history),
            self._compacted_revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to ``copy``; what was written since is lost, its revisions too."""
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self._history = list(copy.history)
        self._compacted_revision = copy.compacted_revision
        self._wake()

    def page(self, prefix: str, after: str) -> tuple[list[StoredItem], bool]:
        """Return a page of items under ``prefix``, and whether more follow.

        The page has the keys above ``after`` in order, at most ``page_items`` of them.
        """
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page_keys = keys[: self.page_items]
        return [self.items[key] for key in page_keys], len(keys) > len(page_keys)

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> list[StoredItem] | None:
        """Wait for changes of ``prefix`` above the revision ``after`` and return them.

        Returns an empty list after ``wait_ms``, or ``None`` if the history since
        ``after`` was discarded or the store has not reached that revision. Raises
        ``trio.BrokenResourceError`` when the store is restored during the wait.
        """
        era = self.era
        with trio.move_on_after(wait_ms / 1_000):
            while True:
                if not self._compacted_revision <= after <= self.revision:
                    return None
                found = [
                    item
                    for item in self._history
                    if item.revision > after and item.key.startswith(prefix)
                ]
                if found:
                    return found
                await self._changed.wait()
                if self.era != era:
                    raise trio.BrokenResourceError("the store was restored")
        return []

    def _change(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = StoredItem(key, self.revision, value)
        self.items[key] = item
        self._history.append(item)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
