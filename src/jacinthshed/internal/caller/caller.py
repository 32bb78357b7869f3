"""The client library through which an application sends requests."""

import random
from collections.abc import Iterable, Sequence

import trio
from returns.result import Failure, Result, Success

from ..http.client import BackendPool
from ..http.message import Header, Request, Response
from ..http.network import Network, tcp_network
from ..http.outcome import ExchangeFailed, Outcome
from ..verdict import Reason, Refusal
from .answer import Answer
from .entries import Entries
from .key_record import KeyRecord
from .key_store import KeyStore
from .resend_policy import MAX_RESENDS, ResendPolicy
from .response_outcome import fence_from, record_response
from .submission import Draft, Submission

DEFAULT_DEADLINE_MS = 10_000

_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
_CONNECTIONS_PER_ENTRY = 256
_MAX_ANSWER_BYTES = 16_777_216
# An entry node sends several interim responses per second while a request is in
# progress. One that sends nothing for half of the remaining time, within these bounds,
# is abandoned for another entry node.
_MIN_SILENCE_S = 0.45
_MAX_SILENCE_S = 2.0
_ENTRY_UNAVAILABLE = frozenset({Reason.LEAVING, Reason.NO_BUNDLE})


def is_idempotent_method(method: str) -> bool:
    """Return whether HTTP defines ``method`` as idempotent (RFC 9110)."""
    return method.upper() in _IDEMPOTENT_METHODS


class Caller:
    """Sends requests through any of ``entries``, the addresses of entry nodes.

    The number of resends is limited to a fraction of the new requests. A request that
    is not idempotent is only resent with its fence.
    """

    def __init__(
        self,
        *,
        entries: Sequence[str],
        network: Network | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng if rng is not None else random.Random()
        self._connect = (network or tcp_network()).connect
        self._entries = Entries(addresses=entries, rng=self._rng)
        self._keys = KeyStore(rng=self._rng)
        self._resends = ResendPolicy(rng=self._rng)
        self._pools: dict[str, BackendPool] = {}

    def new_key(self) -> str:
        """Return a new idempotency key."""
        return self._keys.new_key(trio.current_time())

    def fence(self, key: str) -> str:
        """Return the stored fence of ``key``, or ``""`` when there is none."""
        record = self._keys.record(key, trio.current_time(), first_use=False)
        return record.fence

    def hold_fence(self, key: str, fence: str) -> None:
        """Store a fence that the application persisted from an earlier process."""
        record = self._keys.record(key, trio.current_time(), first_use=False)
        record.store_fence(fence)

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: Iterable[Header] = (),
        body: bytes = b"",
        key: str | None = None,
        first_use: bool = False,
        deadline_ms: float = DEFAULT_DEADLINE_MS,
        idempotent: bool | None = None,
    ) -> Result[Answer, Refusal]:
        """Send a request and return its complete response, or why there is none.

        ``key`` is the idempotency key of a request that is not idempotent; by default
        a new one is generated. Pass the same key to send the request again after
        ``MAY_HAVE_RUN``. ``first_use`` asserts that no process has ever sent a request
        with ``key``. ``idempotent`` defaults to whether ``method`` is idempotent.
        """
        if idempotent is None:
            idempotent = is_idempotent_method(method)
        draft = Draft(
            method.encode(),
            path.encode(),
            tuple((name.lower(), value) for name, value in headers),
            body,
            idempotent,
        )
        deadline_s = trio.current_time() + deadline_ms / 1_000
        record = self._record(key, idempotent, first_use)
        with trio.move_on_at(deadline_s) as lock_wait:
            # Two copies in flight at once would invalidate each other's verdict.
            await record.lock.acquire()
        if lock_wait.cancelled_caught:
            return Failure(Refusal(record.local_verdict, Reason.DEADLINE))
        try:
            return await self._submit(draft, record, deadline_s)
        finally:
            record.lock.release()

    async def aclose(self) -> None:
        """Close all idle connections to entry nodes."""
        for pool in self._pools.values():
            await pool.close()

    def _record(self, key: str | None, idempotent: bool, first_use: bool) -> KeyRecord:
        if idempotent:
            return KeyRecord(key=key or "", fenced=False, may_have_run=False)
        if key is None:
            key = self.new_key()
        return self._keys.record(key, trio.current_time(), first_use=first_use)

    async def _submit(
        self, draft: Draft, record: KeyRecord, deadline_s: float
    ) -> Result[Answer, Refusal]:
        if not record.may_have_run:
            self._resends.note_fresh_request()
        submission = Submission(
            draft=draft,
            record=record,
            deadline_s=deadline_s,
            entries=self._entries.order(trio.current_time()),
            resends=MAX_RESENDS,
        )
        while True:
            if submission.left_ms(trio.current_time()) <= 0:
                return Failure(Refusal(record.local_verdict, Reason.DEADLINE))
            result = await self._send_copy(submission)
            if result is None:
                continue
            if not await self._wait_to_resend(submission, result):
                return result

    async def _send_copy(
        self, submission: Submission
    ) -> Result[Answer, Refusal] | None:
        """Send one copy; return ``None`` if it was unsent and another entry is left."""
        record = submission.record
        may_have_run_before = record.may_have_run
        request = submission.request(trio.current_time())
        # Set before sending, so that it also applies if the application cancels.
        record.may_have_run = True
        outcome = await self._exchange(submission, request)
        submission.exchange_failed = isinstance(outcome, ExchangeFailed)
        submission.is_resend |= isinstance(outcome, Response) or outcome.sent
        if isinstance(outcome, Response):
            submission.consecutive_failures = 0
            result = record_response(outcome, record, may_have_run_before)
            self._avoid_unavailable_entry(submission, result)
            return result
        if not outcome.sent:
            record.may_have_run = may_have_run_before
        if outcome.unwritable:
            verdict = record.local_verdict
            return Failure(Refusal(verdict, Reason.MALFORMED, detail=outcome.reason))
        return self._avoid_failed_entry(submission, outcome)

    def _avoid_unavailable_entry(
        self, submission: Submission, result: Result[Answer, Refusal]
    ) -> None:
        """Avoid an entry node that is shutting down or has no bundle yet.

        It would refuse every request for some seconds, and use up the resends.
        """
        if (
            isinstance(result, Failure)
            and result.failure().reason in _ENTRY_UNAVAILABLE
        ):
            self._entries.note_failure(submission.entry, trio.current_time())
            submission.rotate_entries()

    def _avoid_failed_entry(
        self, submission: Submission, outcome: ExchangeFailed
    ) -> Result[Answer, Refusal] | None:
        now_s = trio.current_time()
        self._entries.note_failure(submission.entry, now_s)
        submission.rotate_entries()
        submission.consecutive_failures += 1
        if not outcome.sent and submission.consecutive_failures < len(
            submission.entries
        ):
            return None
        is_late = submission.left_ms(now_s) <= 0
        reason = Reason.DEADLINE if is_late else Reason.UNREACHABLE
        verdict = submission.record.local_verdict
        return Failure(Refusal(verdict, reason, detail=outcome.reason))

    async def _exchange(self, submission: Submission, request: Request) -> Outcome:
        record = submission.record
        left_ms = submission.left_ms(trio.current_time())
        has_resend = self._resends.has_resend_for(submission)
        half_left_s = left_ms / 2_000
        silence_limit_s = max(_MIN_SILENCE_S, min(_MAX_SILENCE_S, half_left_s))
        with trio.CancelScope() as scope:

            def extend_deadline() -> None:
                if has_resend and submission.may_resend:
                    scope.deadline = trio.current_time() + silence_limit_s

            async def handle_interim(interim: Response) -> None:
                record.store_fence(fence_from(interim))
                extend_deadline()

            extend_deadline()
            return await self._pool(submission.entry).request(
                request,
                timeout_ms=left_ms,
                max_body_bytes=_MAX_ANSWER_BYTES,
                on_interim=handle_interim,
            )
        return ExchangeFailed(
            True, "the entry node sent no response or interim response in time"
        )

    async def _wait_to_resend(
        self, submission: Submission, result: Result[Answer, Refusal]
    ) -> bool:
        """Return whether to send another copy, after waiting as long as required."""
        if isinstance(result, Success):
            return False
        wait_ms = self._resends.take(
            submission, result.failure(), submission.left_ms(trio.current_time())
        )
        if wait_ms is None:
            return False
        await trio.sleep(wait_ms / 1_000)
        return True

    def _pool(self, address: str) -> BackendPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = BackendPool(
                connect=self._connect,
                address=address,
                max_connections=_CONNECTIONS_PER_ENTRY,
            )
        return pool
