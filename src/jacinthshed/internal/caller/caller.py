"""The library through which an application sends its requests."""

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
from .settling import fence_of, settle_response
from .submission import Draft, Submission

DEFAULT_DEADLINE_MS = 10_000

_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
_CONNECTIONS_PER_ENTRY = 256
_MAX_ANSWER_BYTES = 16_777_216
# An entry shows several times a second that a request lives. One that is silent for
# half of the time left, within these bounds, is given up for another.
_MIN_PATIENCE_S = 0.45
_MAX_PATIENCE_S = 2.0
_ENTRY_USELESS = frozenset({Reason.LEAVING, Reason.NO_BUNDLE})


def is_idempotent_method(method: str) -> bool:
    """Return whether a request of this method may run twice, by its standard."""
    return method.upper() in _IDEMPOTENT_METHODS


class Caller:
    """Sends requests through any of ``entries``, the addresses of entry nodes.

    Resends are bounded to a share of the fresh requests, and a request that is not
    idempotent is only resent under its fence.
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
        """Return an idempotency key that was never used."""
        return self._keys.new_key(trio.current_time())

    def fence(self, key: str) -> str:
        """Return the fence held for ``key``, empty when there is none."""
        record = self._keys.record(key, trio.current_time(), first_use=False)
        return record.fence

    def hold_fence(self, key: str, fence: str) -> None:
        """Take over a fence that the application kept from an earlier process."""
        record = self._keys.record(key, trio.current_time(), first_use=False)
        record.learn_fence(fence)

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
        """Send a request and return its whole answer, or why there is none.

        ``key`` names the request when it is not idempotent; without one, a new key is
        used. Pass the same key to ask again after ``MAY_HAVE_RUN``. ``first_use``
        promises that a key of the application's own was never sent by any process.
        ``idempotent`` defaults to what the method says.
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
        with trio.move_on_at(deadline_s) as waiting:
            # Two copies at once would make each other's verdict worthless.
            await record.lock.acquire()
        if waiting.cancelled_caught:
            return Failure(Refusal(record.local_verdict, Reason.DEADLINE))
        try:
            return await self._submit(draft, record, deadline_s)
        finally:
            record.lock.release()

    async def aclose(self) -> None:
        """Close all idle connections."""
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
            if not await self._waits_to_resend(submission, result):
                return result

    async def _send_copy(
        self, submission: Submission
    ) -> Result[Answer, Refusal] | None:
        """Send one copy; return ``None`` when it never left and another entry is up."""
        record = submission.record
        may_have_run_before = record.may_have_run
        request = submission.request(trio.current_time())
        # Set before sending, so that it also holds when the application cancels.
        record.may_have_run = True
        outcome = await self._exchange(submission, request)
        submission.lost_entry = isinstance(outcome, ExchangeFailed)
        submission.is_resend |= isinstance(outcome, Response) or outcome.sent
        if isinstance(outcome, Response):
            submission.unreached = 0
            result = settle_response(outcome, record, may_have_run_before)
            self._turn_from_useless_entry(submission, result)
            return result
        if not outcome.sent:
            record.may_have_run = may_have_run_before
        if outcome.unwritable:
            verdict = record.local_verdict
            return Failure(Refusal(verdict, Reason.MALFORMED, detail=outcome.reason))
        return self._turn_from_lost_entry(submission, outcome)

    def _turn_from_useless_entry(
        self, submission: Submission, result: Result[Answer, Refusal]
    ) -> None:
        """Prefer others to an entry that is about to end or has just begun.

        It would refuse each request for some seconds, and use up the resends.
        """
        if isinstance(result, Failure) and result.failure().reason in _ENTRY_USELESS:
            self._entries.note_failure(submission.entry, trio.current_time())
            submission.turn_to_next_entry()

    def _turn_from_lost_entry(
        self, submission: Submission, outcome: ExchangeFailed
    ) -> Result[Answer, Refusal] | None:
        now_s = trio.current_time()
        self._entries.note_failure(submission.entry, now_s)
        submission.turn_to_next_entry()
        submission.unreached += 1
        if not outcome.sent and submission.unreached < len(submission.entries):
            return None
        is_late = submission.left_ms(now_s) <= 0
        reason = Reason.DEADLINE if is_late else Reason.UNREACHABLE
        verdict = submission.record.local_verdict
        return Failure(Refusal(verdict, reason, detail=outcome.reason))

    async def _exchange(self, submission: Submission, request: Request) -> Outcome:
        record = submission.record
        left_ms = submission.left_ms(trio.current_time())
        can_resend = self._resends.has_one_for(submission)
        half_s = left_ms / 2_000
        patience_s = max(_MIN_PATIENCE_S, min(_MAX_PATIENCE_S, half_s))
        with trio.CancelScope() as scope:

            def heard() -> None:
                if can_resend and submission.may_resend:
                    scope.deadline = trio.current_time() + patience_s

            async def take_interim(interim: Response) -> None:
                record.learn_fence(fence_of(interim))
                heard()

            heard()
            return await self._pool(submission.entry).request(
                request,
                timeout_ms=left_ms,
                max_body_bytes=_MAX_ANSWER_BYTES,
                on_interim=take_interim,
            )
        return ExchangeFailed(True, "the entry node is silent")

    async def _waits_to_resend(
        self, submission: Submission, result: Result[Answer, Refusal]
    ) -> bool:
        """Return whether to send another copy, after the wait that it needs."""
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
