"""State of the stand-in configuration service."""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

import trio


class Mode(StrEnum):
    """How the service answers a read."""

    NORMAL = "normal"
    DOWN = "down"
    STALE = "stale"
    SLOW = "slow"


class Entry(NamedTuple):
    """The value of one key and its revision, which starts at 1."""

    revision: int
    value: str


class PlatformState:
    """Values by key, counters of calls, and the mode.

    In mode ``STALE``, reads return the values that were current when the mode was set.
    """

    def __init__(self) -> None:
        self.mode = Mode.NORMAL
        self.calls = 0
        self.watches = 0
        self._calls_by_second: Counter[int] = Counter()
        self._entries: dict[str, Entry] = {}
        self._visible: dict[str, Entry] = self._entries
        self._changed = trio.Event()

    @property
    def peak_per_s(self) -> int:
        """The highest number of calls in one second."""
        return max(self._calls_by_second.values(), default=0)

    def count_call(self) -> None:
        """Count one call, a read or a watch."""
        self.calls += 1
        self._calls_by_second[int(trio.current_time())] += 1

    def put(self, key: str, value: str) -> Entry:
        """Publish ``value`` as the next revision of ``key``."""
        previous = self._entries.get(key)
        revision = previous.revision + 1 if previous else 1
        self._entries[key] = Entry(revision, value)
        self._wake_watches()
        return self._entries[key]

    def set_mode(self, mode: Mode) -> None:
        """Set the mode and wake up the watches, which then apply it."""
        self.mode = mode
        stale = mode is Mode.STALE
        self._visible = dict(self._entries) if stale else self._entries
        self._wake_watches()

    def read_after(self, key: str, after: int) -> Entry | None:
        """Return the entry of ``key`` if its revision is above ``after``."""
        entry = self._visible.get(key)
        return entry if entry is not None and entry.revision > after else None

    async def wait_after(self, key: str, after: int, wait_ms: float) -> Entry | None:
        """Wait until the revision of ``key`` is above ``after`` and return its entry.

        Returns ``None`` after ``wait_ms``.
        """
        with trio.move_on_after(wait_ms / 1_000):
            while (entry := self.read_after(key, after)) is None:
                await self._changed.wait()
            return entry
        return None

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
