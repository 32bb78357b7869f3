"""Executes the target's actions, such as exchanges with the backend server."""

from collections.abc import Awaitable, Callable
from math import inf

import trio

from ..adapters.http_adapter import HttpAdapter
from ..bundle.model import SizeLimits
from ..fence.instant import Instant
from ..flow.actions import Abort, Dispatch, Send, TargetAction
from ..flow.announcements import RecordAnnouncement
from ..flow.backend_outcome import (
    BackendAnswer,
    BackendFailure,
    BackendResult,
    FailureCause,
)
from ..flow.target import Target
from ..http.client import BackendPool
from ..http.outcome import ExchangeFailed, Outcome
from ..telemetry.log import get_logger
from .clock import Clock
from .links import LinkTable

log = get_logger(__name__)


class Dispatcher:
    """Owns the exchanges with this node's backend server.

    ``fence_left_ms`` returns the time until a fence expires. An exchange under a fence
    continues for that long even past its caller's deadline, because only its outcome
    can answer a later copy of the request. ``record_announcement`` is called with each
    result before the target gets it.
    """

    def __init__(
        self,
        *,
        target: Target,
        pool: BackendPool,
        links: LinkTable,
        clock: Clock,
        adapter: HttpAdapter,
        sizes: Callable[[], SizeLimits],
        fence_left_ms: Callable[[str], float],
        record_announcement: RecordAnnouncement,
        is_backend_up: Callable[[], Awaitable[bool]],
    ) -> None:
        self._target = target
        self._pool = pool
        self._links = links
        self._clock = clock
        self._adapter = adapter
        self._sizes = sizes
        self._fence_left_ms = fence_left_ms
        self._record_announcement = record_announcement
        self._is_backend_up = is_backend_up
        self._scopes: dict[int, trio.CancelScope] = {}
        self._aborted: set[int] = set()
        self._nursery: trio.Nursery | None = None
        self._expiry_changed = trio.Event()
        self._awaited_expiry_ms = inf

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which exchanges run."""
        self._nursery = nursery

    def perform(self, actions: list[TargetAction]) -> None:
        """Execute ``actions`` without waiting for their results."""
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Dispatch):
                assert self._nursery is not None
                self._nursery.start_soon(self._run, action)
            else:
                self._abort(action)
        expiry_ms = self._target.next_expiry_ms()
        if expiry_ms is not None and expiry_ms < self._awaited_expiry_ms:
            self._expiry_changed.set()

    async def expire_waiting(self) -> None:
        """Refuse queued work at its deadline, until cancelled."""
        while True:
            self._expiry_changed = trio.Event()
            expiry_ms = self._target.next_expiry_ms()
            self._awaited_expiry_ms = inf if expiry_ms is None else expiry_ms
            if expiry_ms is None:
                await self._expiry_changed.wait()
                continue
            wait_ms = max(0.0, expiry_ms - self._clock.now_ms())
            with trio.move_on_after(wait_ms / 1_000):
                await self._expiry_changed.wait()
                continue
            self.perform(self._target.expire(self._now()))

    def _send(self, action: Send) -> None:
        channel = self._links.get(action.link)
        if channel is not None:
            channel.send(action.frame)

    def _abort(self, action: Abort) -> None:
        scope = self._scopes.get(action.ticket)
        if scope is not None:
            self._aborted.add(action.ticket)
            scope.cancel()

    async def _run(self, dispatch: Dispatch) -> None:
        ticket = dispatch.ticket
        scope = self._scopes[ticket] = trio.CancelScope()
        try:
            result = _result_of(await self._exchange(dispatch, scope))
        except Exception:
            # One request must not end the process and all other requests. Whether the
            # backend server got this one is not known.
            log.exception("exchange failed", request_id=dispatch.submit.request_id)
            result = BackendFailure(True, FailureCause.TIMED_OUT, "internal error")
        del self._scopes[ticket]
        if ticket in self._aborted:
            self._aborted.discard(ticket)
            if isinstance(result, BackendFailure):
                result = BackendFailure(True, FailureCause.ABORTED, "")
        if _is_broken(result):
            result = await self._detect_crash(result)
        self._report(dispatch, result)

    async def _exchange(self, dispatch: Dispatch, scope: trio.CancelScope) -> Outcome:
        timeout_ms = dispatch.timeout_ms
        if dispatch.submit.fence:
            timeout_ms = max(timeout_ms, self._fence_left_ms(dispatch.submit.fence))
        return await self._pool.request(
            self._adapter.backend_request(dispatch.submit, dispatch.timeout_ms),
            matcher=self._adapter.matcher(dispatch.submit),
            timeout_ms=timeout_ms,
            max_body_bytes=self._sizes().answer_bytes,
            scope=scope,
        )

    def _report(self, dispatch: Dispatch, result: BackendResult) -> None:
        at = self._now()
        self._record_announcement(at, dispatch.submit, result)
        self.perform(self._target.backend_done(at, dispatch.ticket, result))

    def _now(self) -> Instant:
        return Instant(self._clock.now_ms(), self._clock.wall_ms())

    async def _detect_crash(self, result: BackendResult) -> BackendResult:
        """Distinguish a crash of the backend server from one broken connection.

        Runs before the reply is sent, so that no node retries a request that may have
        crashed the server.
        """
        running = self._target.running_tickets()
        if await self._is_backend_up():
            return result
        self._target.backend_crashed(self._now(), running)
        assert isinstance(result, BackendFailure)
        return result._replace(cause=FailureCause.CRASHED)


def _is_broken(result: BackendResult) -> bool:
    return (
        isinstance(result, BackendFailure)
        and result.sent
        and result.cause is FailureCause.BROKEN
    )


def _result_of(outcome: Outcome) -> BackendResult:
    if isinstance(outcome, ExchangeFailed):
        cause = FailureCause.TIMED_OUT if outcome.timed_out else FailureCause.BROKEN
        return BackendFailure(outcome.sent, cause, outcome.reason)
    return BackendAnswer(outcome.status, outcome.headers, outcome.body)
