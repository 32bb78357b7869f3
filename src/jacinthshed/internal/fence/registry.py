"""The target's memory of non-idempotent requests.

At most once rests on three rules. A fence runs only at the incarnation that it names,
so what has run is known where it counts. A key that was accepted is looked up by the
key, so two fences of one key run it once. And a fence runs only if its ballot is the
one promised for its key, so a revocation that has every target's answer is final.
"""

from returns.result import Success

from ..bundle.model import FencePolicy
from ..verdict import Refusal, Verdict
from ..wire.frames import Reply, Revoke, Revoked
from . import refusals
from .checks import has_expired, is_early, is_stale, predates
from .decisions import Accepted, Answered, Cancelled, Join, Rejected
from .fence import Fence, decode_fence, encode_fence
from .instant import Instant
from .records import FenceRecords
from .run_record import RunRecord, RunState

Decision = Accepted | Join | Answered | Rejected
UNCHANGED_MS = float("inf")


class FenceRegistry:
    """Decides which fences run at one incarnation of one target.

    ``max_entries`` bounds keys, tombstones and promises, each by itself;
    ``max_bytes`` bounds the answers that are held for resends. ``started_ms`` is
    monotonic.
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
        """Entries of each table and bytes of held answers, for status and metrics."""
        return self._records.sizes

    def set_policy(self, at: Instant, policy: FencePolicy) -> None:
        """Follow a new bundle."""
        self._records.set_policy(at, policy)

    def renew(self, incarnation: int) -> None:
        """Go on under a higher incarnation; what has run is kept.

        Fences of the incarnation before run no more: others took it for gone, and may
        have told callers so.
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

        ``fingerprint`` tells two requests apart that were given the same key.
        """
        self._records.expire(at)
        match decode_fence(token):
            case Success(fence):
                return self._submit(at, key, fence, request_id, fingerprint)
            case _:
                return Rejected(refusals.MALFORMED)

    def may_dispatch(self, at: Instant, key: str, token: str) -> bool:
        """Return whether the request may go to the backend server at this moment.

        It is asked directly before the dispatch: a process that slept while the
        request was queued may wake when nobody counts on it any more. When the answer
        is no, call ``refuse``.
        """
        record = self._records.runs.get(key)
        if record is None or record.state is not RunState.QUEUED:
            return False
        fence = record.fence
        return (
            encode_fence(fence) == token
            and self._is_ours(fence)
            and not has_expired(at, fence, self._records.policy)
            and fence.ballot == self._records.promises.get(key)
        )

    def mark_dispatched(self, key: str) -> None:
        """Note that the request is on its way to the backend server.

        Raises ``ValueError`` when the key isn't queued.
        """
        record = self._records.runs.get(key)
        if record is None or record.state is not RunState.QUEUED:
            raise ValueError(f"key {key!r} is not queued; ask may_dispatch first")
        record.state = RunState.DISPATCHED

    def refuse(self, at: Instant, key: str, token: str, refusal: Refusal) -> Refusal:
        """Bury the fence, and return the refusal that may be told to its callers.

        After ``mark_dispatched`` this is for a backend server that says itself that it
        didn't run the request. What can't be proven comes back as *may have run*.
        """
        match decode_fence(token):
            case Success(fence):
                return self._refuse(at, key, fence, refusal)
            case _:
                return refusals.MALFORMED

    def record_reply(self, at: Instant, key: str, reply: Reply) -> None:
        """Remember that the key ran, and its answer as long as there is room."""
        self._records.record_reply(at, key, reply)

    def record_failure(self, at: Instant, key: str) -> None:
        """Remember that the backend server broke off: the key may have run."""
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
        self, at: Instant, revoke: Revoke, *, list_age_ms: float = UNCHANGED_MS
    ) -> Revoked:
        """Say whether the key is known here, and promise the ballot if it isn't.

        ``list_age_ms`` is how long ago this node last learned of a target of its
        service that came or went. It bounds what the node vouches for, so that a
        revoker that hasn't heard of that target doesn't take silence for proof.
        """
        self._records.expire(at)
        vouched_ms = min(self._records.complete_ms(at), list_age_ms)
        outcome, fence = self._revoke(at, revoke.key, revoke.ballot)
        return Revoked(revoke.request_id, outcome, fence, int(vouched_ms))

    def _submit(
        self, at: Instant, key: str, fence: Fence, request_id: str, fingerprint: int
    ) -> Decision:
        record = self._records.runs.get(key)
        if record is not None:
            if fingerprint != record.fingerprint:
                return Rejected(refusals.OTHER_REQUEST)
            return self._join(at, record, fence)
        refusal = self._obstacle(at, key, fence)
        if refusal is not None:
            return Rejected(refusal)
        if self._records.runs.full:
            return Rejected(self._records.bury(at, key, fence, refusals.MEMORY_FULL))
        self._records.runs.add(
            RunRecord(
                key=key, fence=fence, request_id=request_id, fingerprint=fingerprint
            )
        )
        return Accepted()

    def _join(
        self, at: Instant, record: RunRecord, fence: Fence
    ) -> Join | Answered | Rejected:
        if record.state is RunState.ANSWERED:
            if record.reply is None:
                return Rejected(refusals.ANSWER_DROPPED)
            return Answered(record.reply)
        if record.state is RunState.FAILED:
            return Rejected(refusals.BACKEND_FAILED)
        if fence != record.fence:
            # The queued run may yet be refused, and its joiners told *not run*. That
            # has to be true of this fence too, which only its own host can promise.
            if record.state is RunState.QUEUED and not self._is_ours(fence):
                return Rejected(refusals.OTHER_INCARNATION)
            if self._is_ours(fence):
                self._records.bury(at, record.key, fence, refusals.MERGED)
        return Join(record.request_id)

    def _obstacle(self, at: Instant, key: str, fence: Fence) -> Refusal | None:
        """Return why a fence may not start a key that isn't known here."""
        if not self._is_ours(fence):
            return refusals.OTHER_INCARNATION
        if fence.ballot != self._records.promises.get(key):
            return refusals.SUPERSEDED
        tombstone = self._records.tombstones.get(key, fence)
        if tombstone is not None:
            return tombstone
        if is_early(at, fence, self._records.policy):
            return refusals.EARLY
        if has_expired(at, fence, self._records.policy):
            return refusals.EXPIRED
        if fence.minted_ms <= self._records.runs.forgotten_minted_ms:
            return refusals.EXPIRED
        if fence.minted_ms <= self._records.tombstones.horizon_ms:
            return refusals.BELOW_HORIZON
        if predates(at, fence, self._records.policy, started_ms=self._started_ms):
            return refusals.OLDER_KEY
        return None

    def _refuse(self, at: Instant, key: str, fence: Fence, refusal: Refusal) -> Refusal:
        record = self._records.runs.get(key)
        if record is None:
            return self._obstacle(at, key, fence) or self._records.bury(
                at, key, fence, refusal
            )
        if record.ended or record.fence != fence:
            return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
        self._records.runs.remove(record)
        return self._records.bury(at, key, fence, refusal)

    def _cancel(
        self, at: Instant, key: str, fence: Fence
    ) -> Cancelled | Join | Answered | Rejected:
        record = self._records.runs.get(key)
        if record is None:
            refusal = self._obstacle(at, key, fence)
            if refusal is not None and refusal.verdict is not Verdict.NOT_RUN:
                return Rejected(refusal)
            buried = refusal or self._records.bury(at, key, fence, refusals.CANCELLED)
            return Cancelled(buried, "")
        if record.state is RunState.QUEUED and record.fence == fence:
            self._records.runs.remove(record)
            refusal = self._records.bury(at, key, fence, refusals.CANCELLED)
            return Cancelled(refusal, record.request_id)
        return self._join(at, record, fence)

    def _revoke(self, at: Instant, key: str, ballot: str) -> tuple[str, str]:
        record = self._records.runs.get(key)
        if record is not None:
            return "found", encode_fence(record.fence)
        promised = self._records.promises.get(key)
        if ballot < promised or is_stale(at, ballot, self._records.policy):
            return "superseded", promised
        if ballot > promised and not self._records.promise(at, key, ballot):
            return "superseded", promised
        return "tombstone", ""

    def _is_ours(self, fence: Fence) -> bool:
        return fence.host == self._host and fence.incarnation == self._incarnation
