"""Holds log entries until a task writes them, so that no call waits for a write."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, TextIO

import trio

Entry = Mapping[str, Any]
Renderer = Callable[[Entry], str]

MAX_ENTRIES = 10_000

_BATCH = 200
_PAUSE_S = 0.05


class LogSink:
    """A bounded queue of log entries in front of a text stream.

    Entries are written at once until ``run`` starts, and queued from then on. When
    the queue is full, new entries are dropped and counted.
    """

    def __init__(
        self, *, stream: TextIO, render: Renderer, max_entries: int = MAX_ENTRIES
    ) -> None:
        self.dropped = 0
        self._stream = stream
        self._render = render
        self._max_entries = max_entries
        self._entries: deque[Entry] = deque()
        self._queued = False

    def put(self, entry: Entry) -> None:
        """Take ``entry``; this neither renders nor writes while ``run`` is active."""
        if not self._queued:
            self._write(self._render(entry) + "\n")
        elif len(self._entries) < self._max_entries:
            self._entries.append(entry)
        else:
            self.dropped += 1

    async def run(self) -> None:
        """Write entries as they come, until cancelled; then write what is left."""
        self._queued = True
        try:
            while True:
                await trio.sleep(_PAUSE_S)
                while self._entries:
                    lines = self._render_batch()
                    # A full pipe blocks, and must block a thread of its own only.
                    await trio.to_thread.run_sync(self._write, lines)
        finally:
            self._queued = False
            while self._entries:
                self._write(self._render_batch())

    def _render_batch(self) -> str:
        count = min(_BATCH, len(self._entries))
        lines = [self._render(self._entries.popleft()) for _ in range(count)]
        if self.dropped:
            notice = {"event": "log entries dropped", "count": self.dropped}
            lines.append(self._render(notice))
            self.dropped = 0
        return "\n".join(lines) + "\n"

    def _write(self, lines: str) -> None:
        try:
            self._stream.write(lines)
            self._stream.flush()
        except (OSError, ValueError):
            # Whoever read the log has gone; serving goes on without it.
            pass
