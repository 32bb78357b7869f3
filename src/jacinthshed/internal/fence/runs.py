"""The table of keys that a target has accepted."""

from collections import deque

from ..wire.frames import Reply
from .run_record import RunRecord, RunState

NEVER_MS = -1


class RunTable:
    """Accepted keys, bounded in number, with answers bounded in bytes.

    A record is dropped only when it expires, because the fact that a key ran must not
    be lost. An answer may be lost, so the oldest answers are evicted to make room.
    """

    def __init__(self, *, max_entries: int, max_bytes: int) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._records: dict[str, RunRecord] = {}
        self._finished: deque[RunRecord] = deque()
        self._with_reply: deque[RunRecord] = deque()
        self._stored_bytes = 0
        self.latest_expired_minted_ms = NEVER_MS

    def __len__(self) -> int:
        return len(self._records)

    @property
    def reply_bytes(self) -> int:
        """Total size of the stored answers in bytes."""
        return self._stored_bytes

    @property
    def full(self) -> bool:
        """Whether another key would exceed ``max_entries``."""
        return len(self._records) >= self._max_entries

    def get(self, key: str) -> RunRecord | None:
        """Return the record of ``key``, if there is one."""
        return self._records.get(key)

    def add(self, record: RunRecord) -> None:
        """Add an accepted key; the caller has to check ``full`` first."""
        self._records[record.key] = record

    def remove(self, record: RunRecord) -> None:
        """Remove a key that didn't run."""
        del self._records[record.key]

    def finish(
        self, record: RunRecord, state: RunState, *, keep_until_ms: float
    ) -> None:
        """Record how the run ended, and until when the record is retained."""
        record.state = state
        record.keep_until_ms = keep_until_ms
        self._finished.append(record)

    def store_reply(self, record: RunRecord, reply: Reply) -> None:
        """Store the answer and evict the oldest ones if room is short.

        An answer larger than ``max_bytes`` is not stored.
        """
        reply_bytes = _reply_bytes(reply)
        if reply_bytes > self._max_bytes:
            return
        record.reply = reply
        self._with_reply.append(record)
        self._stored_bytes += reply_bytes
        while self._stored_bytes > self._max_bytes:
            self._evict_oldest_reply()

    def expire(self, now_ms: float) -> None:
        """Drop expired records.

        From then on ``latest_expired_minted_ms`` stands for them: a fence minted at or
        before it may belong to a dropped record, so it never runs, even if the wall
        clock is set back.
        """
        while self._finished and self._finished[0].keep_until_ms <= now_ms:
            record = self._finished.popleft()
            del self._records[record.key]
            # Answers are stored in the order in which runs end, so if this record
            # still has its answer, that is the oldest one.
            if self._with_reply and self._with_reply[0] is record:
                self._evict_oldest_reply()
            self.latest_expired_minted_ms = max(
                self.latest_expired_minted_ms, record.fence.minted_ms
            )

    def _evict_oldest_reply(self) -> None:
        record = self._with_reply.popleft()
        if record.reply is not None:
            self._stored_bytes -= _reply_bytes(record.reply)
            record.reply = None


def _reply_bytes(reply: Reply) -> int:
    return len(reply.body) + sum(len(name) + len(text) for name, text in reply.headers)
