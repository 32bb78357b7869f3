"""State of the stand-in configuration service."""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

import trio


class Mode(StrEnum):
    """What the service does with a read."""

    NORMAL = "normal"
    DOWN = "down"
    STALE = "stale"
    SLOW = "slow"


class Entry(NamedTuple):
    """The value of one key."""

    revision: int
    value: str


class PlatformState:
    """Keys, the count of calls, and the mode.

    In mode ``STALE``, readers get what was there when the mode began.
    """

    def __init__(self) -> None:
        self.mode = Mode.NORMAL
        self.calls = 0
        self.watches = 0
        self._calls_by_second: Counter[int] = Counter()
        self._entries: dict[str, Entry] = {}
        self._shown: dict[str, Entry] = self._entries
        self._changed = trio.Event()

    @property
    def peak_per_s(self) -> int:
        """The most calls in one second."""
        return max(self._calls_by_second.values(), default=0)

    def count_call(self) -> None:
        """Count one call; a watch that waits is one as well."""
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
        """Change the mode; watches look again."""
        self.mode = mode
        stale = mode is Mode.STALE
        self._shown = dict(self._entries) if stale else self._entries
        self._wake_watches()

    def read_after(self, key: str, after: int) -> Entry | None:
        """Return ``key`` when its revision is above ``after``."""
        entry = self._shown.get(key)
        return entry if entry is not None and entry.revision > after else None

    async def wait_after(self, key: str, after: int, wait_ms: float) -> Entry | None:
        """Return ``key`` as soon as its revision is above ``after``."""
        with trio.move_on_after(wait_ms / 1_000):
            while (entry := self.read_after(key, after)) is None:
                await self._changed.wait()
            return entry
        return None

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
