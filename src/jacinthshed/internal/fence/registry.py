"""A target's registry of non-idempotent requests.

At-most-once execution rests on three rules:

- A fence runs only at the incarnation that it names, so the process that has to know
  whether it ran has the record.
- An accepted request is looked up by its key, so two fences of one key run it once.
- A fence runs only if its ballot is the one promised for its key, so a revocation that
  every target has answered is final.
"""

from returns.result import Success

from ..bundle.model import FencePolicy
from ..verdict import Refusal, Verdict
from ..wire.frames import Reply, Revoke, Revoked
from . import refusals
from .checks import (
    has_expired,
    is_ballot_expired,
    is_minted_in_future,
    may_predate_process,
)
from .decisions import Accepted, Answered, Cancelled, Join, Rejected
from .fence import Fence, decode_fence, encode_fence
from .instant import Instant
from .records import FenceRecords
from .run_record import RunRecord, RunState

Decision = Accepted | Join | Answered | Rejected
LIST_NEVER_CHANGED_MS = float("inf")


class FenceRegistry:
    """Decides which fences run at one incarnation of one target.

    ``max_entries`` bounds each of the tables of keys, tombstones and promises;
    ``max_bytes`` bounds the total size of the answers stored for resends.
    ``started_ms`` is monotonic.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        started_ms: float,
        policy: FencePolicy,
        max_entries: int,
        max_bytes: int,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._started_ms = started_ms
        self._records = FenceRecords(
            started_ms=started_ms,
            policy=policy,
            max_entries=max_entries,
            max_bytes=max_bytes,
        )

    @property
    def sizes(self) -> dict[str, int]:
        """Entries of each table and bytes of stored answers, for status and metrics."""
        return self._records.sizes

    def set_policy(self, at: Instant, policy: FencePolicy) -> None:
        """Apply the policy of a new bundle."""
        self._records.set_policy(at, policy)

    def renew(self, incarnation: int) -> None:
        """Switch to a higher incarnation; records of what has run are kept.

        Fences of the previous incarnation no longer run: other nodes considered it
        gone and may have reported that to callers.
        """
        self._incarnation = incarnation

    def submit(
        self,
        at: Instant,
        key: str,
        token: str,
        request_id: str,
        *,
        fingerprint: int = 0,
    ) -> Decision:
        """Decide about one copy of a request.

        ``fingerprint`` distinguishes different requests that use the same key.
        """
        self._records.expire(at)
        match decode_fence(token):
            case Success(fence):
                return self._submit(at, key, fence, request_id, fingerprint)
            case _:
                return Rejected(refusals.MALFORMED)

    def may_dispatch(self, at: Instant, key: str, token: str) -> bool:
        """Return whether the request may be sent to the backend server now.

        Call it immediately before the dispatch: the process may have been suspended
        while the request was queued, and the fence may have expired or been revoked
        since. If the result is false, call ``refuse``.
        """
        record = self._records.runs.get(key)
        if record is None or record.state is not RunState.QUEUED:
            return False
        fence = record.fence
        return (
            encode_fence(fence) == token
            and self._is_local(fence)
            and not has_expired(at, fence, self._records.policy)
            and fence.ballot == self._records.promises.get(key)
        )

    def mark_dispatched(self, key: str) -> None:
        """Record that the request has been sent to the backend server.

        Raises ``ValueError`` when the key isn't queued.
        """
        record = self._records.runs.get(key)
        if record is None or record.state is not RunState.QUEUED:
            raise ValueError(f"key {key!r} is not queued; call may_dispatch first")
        record.state = RunState.DISPATCHED

    def refuse(self, at: Instant, key: str, token: str, refusal: Refusal) -> Refusal:
        """Make the fence a tombstone and return the refusal to send to its callers.

        After ``mark_dispatched``, call it only when the backend server itself reports
        that it didn't run the request. If *not run* can't be proven, the returned
        refusal says *may have run*.
        """
        match decode_fence(token):
            case Success(fence):
                return self._refuse(at, key, fence, refusal)
            case _:
                return refusals.MALFORMED

    def record_reply(self, at: Instant, key: str, reply: Reply) -> None:
        """Record that the key ran, and store its answer while there is room.

        Raises ``ValueError`` when the key isn't dispatched.
        """
        self._records.record_reply(at, key, reply)

    def record_failure(self, at: Instant, key: str) -> None:
        """Record that the backend server failed during the run: the key may have run.

        Raises ``ValueError`` when the key isn't dispatched.
        """
        self._records.record_failure(at, key)

    def cancel(
        self, at: Instant, key: str, token: str
    ) -> Cancelled | Join | Answered | Rejected:
        """Turn the fence into a tombstone unless it was dispatched."""
        self._records.expire(at)
        match decode_fence(token):
            case Success(fence):
                return self._cancel(at, key, fence)
            case _:
                return Rejected(refusals.MALFORMED)

    def revoke(
        self, at: Instant, revoke: Revoke, *, list_age_ms: float = LIST_NEVER_CHANGED_MS
    ) -> Revoked:
        """Report whether the key is known here, and promise the ballot if it isn't.

        ``list_age_ms`` is how long ago this node last learned that a target of its
        service joined or left. The reported ``records_complete_ms`` is at most that,
        so that an entry node that doesn't know of this target yet can't conclude from
        the other answers that the key didn't run.
        """
        self._records.expire(at)
        complete_ms = min(self._records.complete_for_ms(at), list_age_ms)
        outcome, fence = self._revoke(at, revoke.key, revoke.ballot)
        return Revoked(revoke.request_id, outcome, fence, int(complete_ms))

    def _submit(
        self, at: Instant, key: str, fence: Fence, request_id: str, fingerprint: int
    ) -> Decision:
        record = self._records.runs.get(key)
        if record is not None:
            if fingerprint != record.fingerprint:
                return Rejected(refusals.KEY_REUSED)
            return self._join_or_answer(at, record, fence)
        refusal = self._start_refusal(at, key, fence)
        if refusal is not None:
            return Rejected(refusal)
        if self._records.runs.full:
            return Rejected(
                self._records.add_tombstone(at, key, fence, refusals.TABLE_FULL)
            )
        self._records.runs.add(
            RunRecord(
                key=key, fence=fence, request_id=request_id, fingerprint=fingerprint
            )
        )
        return Accepted()

    def _join_or_answer(
        self, at: Instant, record: RunRecord, fence: Fence
    ) -> Join | Answered | Rejected:
        if record.state is RunState.ANSWERED:
            if record.reply is None:
                return Rejected(refusals.ANSWER_DROPPED)
            return Answered(record.reply)
        if record.state is RunState.FAILED:
            return Rejected(refusals.BACKEND_FAILED)
        if fence != record.fence:
            # The queued request may still be refused and every waiting copy answered
            # *not run*. That must hold for this fence too, which only the host that
            # it names can guarantee.
            if record.state is RunState.QUEUED and not self._is_local(fence):
                return Rejected(refusals.OTHER_INCARNATION)
            if self._is_local(fence):
                self._records.add_tombstone(
                    at, record.key, fence, refusals.SAME_KEY_IN_PROGRESS
                )
        return Join(record.request_id)

    def _start_refusal(self, at: Instant, key: str, fence: Fence) -> Refusal | None:
        """Return why ``fence`` may not start a key that has no record here, if so."""
        if not self._is_local(fence):
            return refusals.OTHER_INCARNATION
        if fence.ballot != self._records.promises.get(key):
            return refusals.SUPERSEDED
        tombstone = self._records.tombstones.get(key, fence)
        if tombstone is not None:
            return tombstone
        if is_minted_in_future(at, fence, self._records.policy):
            return refusals.MINTED_IN_FUTURE
        if has_expired(at, fence, self._records.policy):
            return refusals.EXPIRED
        if fence.minted_ms <= self._records.runs.latest_expired_minted_ms:
            return refusals.EXPIRED
        if fence.minted_ms <= self._records.tombstones.horizon_ms:
            return refusals.BELOW_HORIZON
        if may_predate_process(
            at, fence, self._records.policy, started_ms=self._started_ms
        ):
            return refusals.KEY_PREDATES_INCARNATION
        return None

    def _refuse(self, at: Instant, key: str, fence: Fence, refusal: Refusal) -> Refusal:
        record = self._records.runs.get(key)
        if record is None:
            return self._start_refusal(at, key, fence) or self._records.add_tombstone(
                at, key, fence, refusal
            )
        if record.has_ended or record.fence != fence:
            return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
        self._records.runs.remove(record)
        return self._records.add_tombstone(at, key, fence, refusal)

    def _cancel(
        self, at: Instant, key: str, fence: Fence
    ) -> Cancelled | Join | Answered | Rejected:
        record = self._records.runs.get(key)
        if record is None:
            refusal = self._start_refusal(at, key, fence)
            if refusal is not None and refusal.verdict is not Verdict.NOT_RUN:
                return Rejected(refusal)
            tombstone = refusal or self._records.add_tombstone(
                at, key, fence, refusals.CANCELLED
            )
            return Cancelled(tombstone, "")
        if record.state is RunState.QUEUED and record.fence == fence:
            self._records.runs.remove(record)
            refusal = self._records.add_tombstone(at, key, fence, refusals.CANCELLED)
            return Cancelled(refusal, record.request_id)
        return self._join_or_answer(at, record, fence)

    def _revoke(self, at: Instant, key: str, ballot: str) -> tuple[str, str]:
        record = self._records.runs.get(key)
        if record is not None:
            return "found", encode_fence(record.fence)
        promised = self._records.promises.get(key)
        if ballot < promised or is_ballot_expired(at, ballot, self._records.policy):
            return "superseded", promised
        if ballot > promised and not self._records.promise(at, key, ballot):
            return "superseded", promised
        return "tombstone", ""

    def _is_local(self, fence: Fence) -> bool:
        """Return whether ``fence`` names this host and this incarnation."""
        return fence.host == self._host and fence.incarnation == self._incarnation
