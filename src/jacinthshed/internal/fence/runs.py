"""The table of keys that a target has accepted."""

from collections import deque

from ..wire.frames import Reply
from .run_record import RunRecord, RunState

NEVER_MS = -1


class Runs:
    """Accepted keys, bounded in number, with answers bounded in bytes.

    A record is dropped only when its time is over, an answer as soon as newer ones
    need the room: that a key ran must be remembered, what was answered need not.
    """

    def __init__(self, *, max_entries: int, max_bytes: int) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._records: dict[str, RunRecord] = {}
        self._ended: deque[RunRecord] = deque()
        self._holding: deque[RunRecord] = deque()
        self._held_bytes = 0
        self.forgotten_minted_ms = NEVER_MS

    def __len__(self) -> int:
        return len(self._records)

    @property
    def held_bytes(self) -> int:
        """Bytes of the answers that are held."""
        return self._held_bytes

    @property
    def full(self) -> bool:
        """Whether a further key would exceed the bound."""
        return len(self._records) >= self._max_entries

    def get(self, key: str) -> RunRecord | None:
        """Return the record of ``key``, if there is one."""
        return self._records.get(key)

    def add(self, record: RunRecord) -> None:
        """Accept a key; the caller has made sure that the table isn't full."""
        self._records[record.key] = record

    def remove(self, record: RunRecord) -> None:
        """Take back a key that didn't run."""
        del self._records[record.key]

    def end(self, record: RunRecord, state: RunState, *, keep_until_ms: float) -> None:
        """Note that the run is over and how long that has to be remembered."""
        record.state = state
        record.keep_until_ms = keep_until_ms
        self._ended.append(record)

    def hold(self, record: RunRecord, reply: Reply) -> None:
        """Keep the answer, in place of the oldest ones if room is short."""
        size = _size(reply)
        if size > self._max_bytes:
            return
        record.reply = reply
        self._holding.append(record)
        self._held_bytes += size
        while self._held_bytes > self._max_bytes:
            self._drop_oldest_answer()

    def expire(self, now_ms: float) -> None:
        """Drop records whose time is over.

        ``forgotten_minted_ms`` covers them from then on: a fence that was minted no
        later may be one of theirs, and never runs again whatever the wall clock says.
        """
        while self._ended and self._ended[0].keep_until_ms <= now_ms:
            record = self._ended.popleft()
            del self._records[record.key]
            # Answers are held in the order in which runs end, so if this one still
            # is, it is the oldest.
            if self._holding and self._holding[0] is record:
                self._drop_oldest_answer()
            self.forgotten_minted_ms = max(
                self.forgotten_minted_ms, record.fence.minted_ms
            )

    def _drop_oldest_answer(self) -> None:
        record = self._holding.popleft()
        if record.reply is not None:
            self._held_bytes -= _size(record.reply)
            record.reply = None


def _size(reply: Reply) -> int:
    return len(reply.body) + sum(len(name) + len(text) for name, text in reply.headers)
