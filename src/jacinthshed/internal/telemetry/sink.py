"""Queue of log entries that a task writes, so that no call waits for a write."""

import os
import select
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, TextIO

import trio

Entry = Mapping[str, Any]
Renderer = Callable[[Entry], str]

MAX_ENTRIES = 10_000

# Entries put within this time are written together, as each write costs a wake-up.
_BATCH_DELAY_S = 0.25
# A pipe that is ready for a write accepts this many bytes without blocking (POSIX
# PIPE_BUF).
_MAX_WRITE_BYTES = 4_096


class LogSink:
    """A bounded queue of log entries in front of a text stream.

    Entries are written immediately until ``run`` starts, and queued while it runs. When
    the queue is full, new entries are dropped and counted in ``dropped``. While ``run``
    is active, nothing is written to a stream that would block.
    """

    def __init__(
        self, *, stream: TextIO, render: Renderer, max_entries: int = MAX_ENTRIES
    ) -> None:
        self.dropped = 0
        self._stream = stream
        self._render = render
        self._max_entries = max_entries
        self._entries: deque[Entry] = deque()
        self._unwritten = b""
        self._queued = False
        self._wake = trio.Event()

    def put(self, entry: Entry) -> None:
        """Queue ``entry`` while ``run`` is active, else render and write it."""
        if not self._queued:
            self._write_text(self._render(entry) + "\n")
        elif len(self._entries) < self._max_entries:
            self._entries.append(entry)
            self._wake.set()
        else:
            self.dropped += 1

    async def run(self) -> None:
        """Write queued entries until cancelled, then those that are left."""
        self._queued = True
        try:
            while True:
                await self._wake.wait()
                await trio.sleep(_BATCH_DELAY_S)
                self._wake = trio.Event()
                if not self._flush():
                    self._wake.set()
        finally:
            self._queued = False
            self._flush()

    def _flush(self) -> bool:
        """Write as much as the stream accepts; return whether nothing is left."""
        fd = _file_descriptor(self._stream)
        while self._unwritten or self._entries or self.dropped:
            if not self._unwritten:
                self._unwritten = (self._next_line() + "\n").encode()
                while self._entries and len(self._unwritten) < _MAX_WRITE_BYTES:
                    self._unwritten += (self._next_line() + "\n").encode()
            if fd is None:
                self._write_text(self._unwritten.decode())
                self._unwritten = b""
            elif not self._write_chunk(fd):
                return False
        return True

    def _write_chunk(self, fd: int) -> bool:
        _, writable, _ = select.select((), (fd,), (), 0)
        if not writable:
            return False
        try:
            written = os.write(fd, self._unwritten[:_MAX_WRITE_BYTES])
        except OSError:
            # The reader of the log has closed it; the node continues without a log.
            written = len(self._unwritten)
        self._unwritten = self._unwritten[written:]
        return True

    def _next_line(self) -> str:
        if self._entries:
            return self._render(self._entries.popleft())
        notice = {"event": "log entries dropped", "count": self.dropped}
        self.dropped = 0
        return self._render(notice)

    def _write_text(self, lines: str) -> None:
        try:
            self._stream.write(lines)
            self._stream.flush()
        except (OSError, ValueError):
            # The reader of the log has closed it; the node continues without a log.
            pass


def _file_descriptor(stream: TextIO) -> int | None:
    """Return the file descriptor of ``stream``, or ``None`` if it is in memory."""
    try:
        stream.flush()
        return stream.fileno()
    except (OSError, ValueError):
        return None
