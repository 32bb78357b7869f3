"""A target's records of keys and fences, and how long they are retained."""

from ..bundle.model import FencePolicy
from ..verdict import Refusal, Verdict
from ..wire.frames import Reply
from .checks import effective_expiry_ms
from .fence import Fence
from .instant import Instant
from .promises import PromiseTable
from .run_record import RunRecord, RunState
from .runs import RunTable
from .tombstones import TombstoneTable


class FenceRecords:
    """The three tables of a fence registry, with the retention that each needs.

    ``max_entries`` bounds each table, ``max_bytes`` the total size of stored answers.
    ``complete_since_ms`` is the monotonic time since which no record is missing.
    """

    def __init__(
        self,
        *,
        started_ms: float,
        policy: FencePolicy,
        max_entries: int,
        max_bytes: int,
    ) -> None:
        self.policy = policy
        self.complete_since_ms = started_ms
        self.runs = RunTable(max_entries=max_entries, max_bytes=max_bytes)
        self.tombstones = TombstoneTable(max_entries=max_entries)
        self.promises = PromiseTable(max_entries=max_entries)

    @property
    def sizes(self) -> dict[str, int]:
        """Entries of each table and bytes of stored answers, for status and metrics."""
        return {
            "keys": len(self.runs),
            "tombstones": len(self.tombstones),
            "promises": len(self.promises),
            "answer_bytes": self.runs.reply_bytes,
        }

    def set_policy(self, at: Instant, policy: FencePolicy) -> None:
        """Apply the policy of a new bundle.

        Requests that ended earlier were recorded for the old retention period only.
        If the new period is longer, the records are complete only as far back as the
        old period reaches from now.
        """
        old_retention_ms = self._retention_ms()
        self.policy = policy
        if self._retention_ms() > old_retention_ms:
            kept_since_ms = at.now_ms - old_retention_ms
            self.complete_since_ms = max(self.complete_since_ms, kept_since_ms)

    def complete_for_ms(self, at: Instant) -> float:
        """Return for how many milliseconds up to now no record is missing."""
        return min(at.now_ms - self.complete_since_ms, self._retention_ms())

    def add_tombstone(
        self, at: Instant, key: str, fence: Fence, refusal: Refusal
    ) -> Refusal:
        """Make ``fence`` a tombstone and return the refusal to send to its callers."""
        final = refusal._replace(verdict=Verdict.NOT_RUN)
        left_ms = max(0, effective_expiry_ms(fence, self.policy) - at.wall_ms)
        keep_until_ms = at.now_ms + left_ms + self.policy.skew_ms
        self.tombstones.add(key, fence, final, keep_until_ms=keep_until_ms)
        return final

    def promise(self, at: Instant, key: str, ballot: str) -> bool:
        """Promise ``ballot``; return ``False`` when the table of promises is full."""
        keep_until_ms = at.now_ms + self._retention_ms() + self.policy.skew_ms
        return self.promises.add(key, ballot, keep_until_ms=keep_until_ms)

    def record_reply(self, at: Instant, key: str, reply: Reply) -> None:
        """Record that the key ran, and store its answer while there is room.

        Raises ``ValueError`` when the key isn't dispatched.
        """
        record = self._finish(at, key, RunState.ANSWERED)
        # Only the answer to the first copy returns the unused allowance.
        self.runs.store_reply(record, reply._replace(allowance=0))

    def record_failure(self, at: Instant, key: str) -> None:
        """Record that the key may have run.

        Raises ``ValueError`` when the key isn't dispatched.
        """
        self._finish(at, key, RunState.FAILED)

    def expire(self, at: Instant) -> None:
        """Drop expired entries from all tables."""
        self.runs.expire(at.now_ms)
        self.tombstones.expire(at.now_ms)
        self.promises.expire(at.now_ms)

    def _finish(self, at: Instant, key: str, state: RunState) -> RunRecord:
        record = self.runs.get(key)
        if record is None or record.state is not RunState.DISPATCHED:
            raise ValueError(
                f"key {key!r} is not dispatched; call mark_dispatched first"
            )
        left_ms = effective_expiry_ms(record.fence, self.policy) - at.wall_ms
        retention_ms = max(left_ms, self._retention_ms()) + self.policy.skew_ms
        self.runs.finish(record, state, keep_until_ms=at.now_ms + retention_ms)
        return record

    def _retention_ms(self) -> int:
        # A resend may be queued at its entry node for up to the lifetime of a fence.
        return self.policy.key_lifetime_ms + self.policy.lifetime_ms
