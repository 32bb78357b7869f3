"""All that a target remembers of keys and fences, and for how long."""

from ..bundle.model import FencePolicy
from ..verdict import Refusal, Verdict
from ..wire.frames import Reply
from .checks import expiry_ms
from .fence import Fence
from .instant import Instant
from .promises import Promises
from .run_record import RunRecord, RunState
from .runs import Runs
from .tombstones import Tombstones


class FenceRecords:
    """The three tables of a fence registry, with the retention that each needs.

    ``max_entries`` bounds each table by itself and ``max_bytes`` the held answers.
    ``complete_since_ms`` is the monotonic time from which on nothing is missing.
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
        self.runs = Runs(max_entries=max_entries, max_bytes=max_bytes)
        self.tombstones = Tombstones(max_entries=max_entries)
        self.promises = Promises(max_entries=max_entries)

    @property
    def sizes(self) -> dict[str, int]:
        """Entries of each table and bytes of held answers, for status and metrics."""
        return {
            "keys": len(self.runs),
            "tombstones": len(self.tombstones),
            "promises": len(self.promises),
            "answer_bytes": self.runs.held_bytes,
        }

    def set_policy(self, at: Instant, policy: FencePolicy) -> None:
        """Follow a new bundle.

        Runs that ended earlier were kept for the old span only, so under a longer one
        the records are complete from there on.
        """
        old_kept_ms = self._kept_ms()
        self.policy = policy
        if self._kept_ms() > old_kept_ms:
            kept_since_ms = at.now_ms - old_kept_ms
            self.complete_since_ms = max(self.complete_since_ms, kept_since_ms)

    def complete_ms(self, at: Instant) -> float:
        """Return for how long nothing is missing."""
        return min(at.now_ms - self.complete_since_ms, self._kept_ms())

    def bury(self, at: Instant, key: str, fence: Fence, refusal: Refusal) -> Refusal:
        """Make ``fence`` a tombstone and return what may be told of it."""
        final = refusal._replace(verdict=Verdict.NOT_RUN)
        left_ms = max(0, expiry_ms(fence, self.policy) - at.wall_ms)
        keep_until_ms = at.now_ms + left_ms + self.policy.skew_ms
        self.tombstones.add(key, fence, final, keep_until_ms=keep_until_ms)
        return final

    def promise(self, at: Instant, key: str, ballot: str) -> bool:
        """Promise ``ballot`` and return whether there was room for that."""
        keep_until_ms = at.now_ms + self._kept_ms() + self.policy.skew_ms
        return self.promises.give(key, ballot, keep_until_ms=keep_until_ms)

    def record_reply(self, at: Instant, key: str, reply: Reply) -> None:
        """Remember that the key ran, and its answer as long as there is room."""
        record = self._end(at, key, RunState.ANSWERED)
        # The unused allowance goes back with the first copy, and only with that.
        self.runs.hold(record, reply._replace(allowance=0))

    def record_failure(self, at: Instant, key: str) -> None:
        """Remember that the key may have run."""
        self._end(at, key, RunState.FAILED)

    def expire(self, at: Instant) -> None:
        """Drop what isn't needed any more."""
        self.runs.expire(at.now_ms)
        self.tombstones.expire(at.now_ms)
        self.promises.expire(at.now_ms)

    def _end(self, at: Instant, key: str, state: RunState) -> RunRecord:
        record = self.runs.get(key)
        if record is None or record.state is not RunState.DISPATCHED:
            raise ValueError(
                f"key {key!r} is not dispatched; call mark_dispatched first"
            )
        left_ms = expiry_ms(record.fence, self.policy) - at.wall_ms
        kept_ms = max(left_ms, self._kept_ms()) + self.policy.skew_ms
        self.runs.end(record, state, keep_until_ms=at.now_ms + kept_ms)
        return record

    def _kept_ms(self) -> int:
        # A resend may wait at its entry node for up to the lifetime of a fence.
        return self.policy.key_lifetime_ms + self.policy.lifetime_ms
