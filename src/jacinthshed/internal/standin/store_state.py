"""State of the stand-in store: keys with revisions, and a history of changes."""

import base64
from collections import deque
from enum import StrEnum
from typing import Any, NamedTuple

import trio


class StoreFaultMode(StrEnum):
    """What the store does with one call instead of answering it."""

    BUSY = "busy"
    MANY = "many"
    CLOSED = "closed"
    SILENT = "silent"
    CUT_SHORT = "cut-short"


class StoredItem(NamedTuple):
    """A key's value, or ``None`` for a deletion, with the revision of its change."""

    key: str
    revision: int
    value: bytes | None

    def as_json(self) -> dict[str, Any]:
        """Return the item as the wire spells it."""
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


class StoreState:
    """Keys, their history and the faults that the next calls meet.

    ``page_items`` bounds a page of a range.
    """

    def __init__(self, *, page_items: int = 500) -> None:
        self.page_items = page_items
        self.revision = 1
        self.items: dict[str, StoredItem] = {}
        self.faults: deque[StoreFaultMode] = deque()
        self.calls: list[str] = []
        self._history: list[StoredItem] = []
        self._compacted = 0
        self._changed = trio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write ``key``."""
        self._change(key, value)

    def delete(self, key: str) -> None:
        """Remove ``key``."""
        self._change(key, None)
        del self.items[key]

    def compact(self) -> None:
        """Forget the history; watches from before get 410."""
        self._compacted = self.revision
        self._history.clear()
        self._wake()

    def page(self, prefix: str, after: str) -> tuple[list[StoredItem], bool]:
        """Return the items behind ``after``, and whether more follow."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        chosen = keys[: self.page_items]
        return [self.items[key] for key in chosen], len(keys) > len(chosen)

    async def changes(
        self, prefix: str, after: int, wait_ms: int
    ) -> list[StoredItem] | None:
        """Wait for changes above ``after``; ``None`` when that history is gone."""
        with trio.move_on_after(wait_ms / 1_000):
            while True:
                if after < self._compacted:
                    return None
                found = [
                    item
                    for item in self._history
                    if item.revision > after and item.key.startswith(prefix)
                ]
                if found:
                    return found
                await self._changed.wait()
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
