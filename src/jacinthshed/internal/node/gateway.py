"""Serves the entry and egress listeners: turns HTTP requests into calls."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

from returns.result import Failure

from ..adapters.http_adapter import HttpAdapter
from ..fence.strategy import FIRST_USE_FENCE
from ..flow.call import Call
from ..flow.call_access import EGRESS_CALLER
from ..flow.call_reader import (
    CONTEXT_HEADER,
    FENCE_HEADER,
    KEY_HEADER,
    Arrival,
    ParsedCall,
    nested_key,
)
from ..flow.choose import choose_flow
from ..flow.context import ContextRegistry, ParentContext
from ..flow.copies import DUPLICATE_ID
from ..flow.nested_time import NestedTime
from ..flow.observed_calls import ObservedCalls
from ..flow.policy import Policy
from ..flow.steps import CallEnd
from ..flow.tools import CallTools
from ..http.message import Request, Response, header
from ..http.server import InterimHandler
from ..retry.allowance import AllowanceLedger
from ..telemetry.log import LogDecision
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Reply
from ..workspace.usage_exchange import UsageExchange
from .call_stop import CallStop
from .clock import Clock
from .driver import drive
from .interim_sender import InterimSender
from .links import LinkTable
from .observer import ExchangeObserver

INTERIM_STATUS = 100
INTERIM_HEADER = b"jacinthshed-interim"
REQUEST_ID_BITS = 64
LEAVING_RETRY_AFTER_MS = 100
NO_BUNDLE_RETRY_AFTER_MS = 1_000


class RequestOutcome(NamedTuple):
    """The reply or refusal that ended a request, and how long it took."""

    elapsed_ms: float
    reply: Reply | None
    refusal: Refusal | None


class Gateway:
    """Serves callers at the entry and this node's backend server at the egress.

    ``policy`` returns the policy in force, or ``None`` while the node may not serve.
    ``stop`` ends the calls in progress. ``policy_age_ms`` is how long ago the policy
    was known to be the newest.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        policy: Callable[[], Policy | None],
        ledger: AllowanceLedger,
        contexts: ContextRegistry,
        links: LinkTable,
        adapter: HttpAdapter,
        tools: CallTools,
        refuses_callers: Callable[[], bool],
        wait_confirmed: Callable[[], Awaitable[None]],
        nested: NestedTime,
        observed_calls: ObservedCalls,
        policy_age_ms: Callable[[], float],
        usage: UsageExchange,
        observer_for: Callable[[Call], ExchangeObserver],
        log: LogDecision,
    ) -> None:
        self._clock = clock
        self._random = random
        self._policy = policy
        self._ledger = ledger
        self._contexts = contexts
        self._links = links
        self._adapter = adapter
        self._tools = tools
        self._refuses_callers = refuses_callers
        self._wait_confirmed = wait_confirmed
        self._nested = nested
        self._observed_calls = observed_calls
        self._policy_age_ms = policy_age_ms
        self._usage = usage
        self._observer_for = observer_for
        self._log = log
        self._active_ids: set[str] = set()
        self.stop = CallStop()
        self.in_flight = 0

    async def serve_entry(
        self, request: Request, interim: InterimHandler, *, caller: str = ""
    ) -> Response:
        """Answer a request from ``caller``, or a call of this node's backend server.

        A context header is ignored.
        """
        if self._refuses_callers():
            refusal = Refusal(Verdict.NOT_RUN, Reason.LEAVING, LEAVING_RETRY_AFTER_MS)
            return self._refuse(request, self._request_id(request), refusal)
        parent = self._contexts.running_attempt(
            self._adapter.parent_id(request.headers)
        )
        return await self._serve(request, interim, parent, caller)

    async def serve_egress(self, request: Request, interim: InterimHandler) -> Response:
        """Answer a call of this node's backend server."""
        context = header(request.headers, CONTEXT_HEADER) or b""
        parent = self._contexts.get(context.decode("ascii", "replace"))
        return await self._serve(request, interim, parent, EGRESS_CALLER)

    async def _serve(
        self,
        request: Request,
        interim: InterimHandler,
        parent: ParentContext | None,
        caller: str,
    ) -> Response:
        self.in_flight += 1
        try:
            return await self._answer(request, interim, parent, caller)
        finally:
            self.in_flight -= 1

    async def _answer(
        self,
        request: Request,
        interim: InterimHandler,
        parent: ParentContext | None,
        caller: str,
    ) -> Response:
        await self._wait_confirmed()
        policy = self._policy()
        request_id = self._request_id(request)
        if policy is None:
            refusal = Refusal(
                Verdict.NOT_RUN, Reason.NO_BUNDLE, NO_BUNDLE_RETRY_AFTER_MS
            )
            return self._refuse(request, request_id, refusal)
        arrival = self._build_arrival(request, request_id, parent, caller)
        parsed = self._adapter.read_call(request, arrival, policy)
        if isinstance(parsed, Failure):
            return self._refuse(request, request_id, parsed.failure())
        if request_id in self._active_ids:
            # The answer to one could be delivered to the other.
            return self._refuse(request, request_id, DUPLICATE_ID)
        workspace = parsed.unwrap().call.workspace
        over_limit = self._usage.admit(workspace) if workspace else None
        if over_limit is not None:
            return self._refuse(request, request_id, over_limit)
        self._active_ids.add(request_id)
        try:
            sender = self._build_sender(request, parsed.unwrap().call, interim)
            end = await self._run(parsed.unwrap(), sender)
        finally:
            self._active_ids.discard(request_id)
        is_refused = end.refusal and end.refusal.verdict is Verdict.NOT_RUN
        if workspace and is_refused:
            self._usage.give_back(workspace)
        return self._adapter.call_response(request_id, end)

    def _request_id(self, request: Request) -> str:
        given = self._adapter.request_id(request.headers)
        return given or f"{self._random.getrandbits(REQUEST_ID_BITS):016x}"

    def _refuse(self, request: Request, request_id: str, refusal: Refusal) -> Response:
        """Refuse a request that was not forwarded to any target."""
        refusal = self._adapter.refusal_before_send(request.headers, refusal)
        self._log_outcome(request_id, "", RequestOutcome(0.0, None, refusal))
        return self._adapter.refusal_response(request_id, refusal)

    def _build_arrival(
        self,
        request: Request,
        request_id: str,
        parent: ParentContext | None,
        caller: str,
    ) -> Arrival:
        arrival = Arrival(
            request_id=request_id,
            now_ms=self._clock.now_ms(),
            wall_ms=self._clock.wall_ms(),
            parent=parent,
            calls_done=0,
            caller=caller,
            policy_age_ms=self._policy_age_ms(),
            use_permille=self._usage.use_permille,
        )
        if parent is None:
            return arrival
        given = (header(request.headers, KEY_HEADER) or b"").decode("latin-1")
        number = self._contexts.next_call_number(parent.request_id)
        key = nested_key(parent, given, number)
        return arrival._replace(
            calls_done=self._contexts.calls_done(parent.request_id),
            nested_key=key,
            held_fence=self._contexts.share_fence(parent.request_id, key)
            or FIRST_USE_FENCE,
        )

    async def _run(self, parsed: ParsedCall, sender: InterimSender) -> CallEnd:
        call = parsed.call
        started_ms = self._clock.now_ms()
        self._register(call)
        try:
            flow = choose_flow(parsed, self._tools)
            end = await drive(
                flow,
                call,
                links=self._links,
                sender=sender,
                observer=self._observer_for(call),
                stop=self.stop,
            )
        finally:
            self._unregister(call)
        self._record_end(call, end, started_ms)
        return end

    def _build_sender(
        self, request: Request, call: Call, interim: InterimHandler
    ) -> InterimSender:
        async def send_fence(fence: str) -> None:
            if call.parent_id:
                self._contexts.store_fence(call.parent_id, call.key, fence)
                return
            headers = ((FENCE_HEADER, fence.encode()),)
            await interim(Response(INTERIM_STATUS, headers))

        async def send_keepalive() -> None:
            await interim(Response(INTERIM_STATUS))

        requested = header(request.headers, INTERIM_HEADER) is not None
        return InterimSender(send_fence, send_keepalive if requested else None)

    def _register(self, call: Call) -> None:
        if call.ledger_id == call.request_id:
            self._ledger.open(call.ledger_id, call.allowance)
        parent = self._contexts.get(call.parent_id)
        if parent is not None:
            now_ms = self._clock.now_ms()
            self._nested.call_started(now_ms, call.parent_id)
            self._observed_calls.record(now_ms, parent.route, call.route)

    def _unregister(self, call: Call) -> None:
        if call.parent_id:
            self._nested.call_ended(self._clock.now_ms(), call.parent_id)
        if call.ledger_id == call.request_id:
            self._ledger.close(call.ledger_id)

    def _record_end(self, call: Call, end: CallEnd, started_ms: float) -> None:
        if end.reply is not None and call.parent_id:
            self._contexts.add_calls_done(call.parent_id, 1 + end.reply.calls_done)
        if end.refusal is not None and not call.parent_id:
            self._tools.record_refusal(call, end.refusal)
        elapsed_ms = self._clock.now_ms() - started_ms
        self._log_outcome(
            call.request_id,
            call.route,
            RequestOutcome(elapsed_ms, end.reply, end.refusal),
        )

    def _log_outcome(
        self, request_id: str, route: str, outcome: RequestOutcome
    ) -> None:
        elapsed_ms, reply, refusal = outcome
        policy = self._policy()
        self._log(
            "request_ended",
            request_id=request_id,
            route=route,
            verdict=Verdict.RAN if refusal is None else refusal.verdict,
            reason="" if refusal is None else refusal.reason,
            detail="" if refusal is None else refusal.detail,
            status=reply.status if reply else 0,
            elapsed_ms=round(elapsed_ms, 1),
            policy_version=policy.order.version if policy else 0,
            failed=refusal is not None or (reply is not None and reply.status >= 500),
        )
