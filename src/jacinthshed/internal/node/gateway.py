"""The entry and egress listeners: from HTTP requests to calls and back."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

from returns.result import Failure

from ..edge.http_adapter import HttpAdapter
from ..fence.strategy import FIRST_USE_FENCE
from ..flow.call import Call
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
from .caller_port import CallerPort
from .clock import Clock
from .driver import drive
from .links import LinkTable
from .observer import ExchangeObserver

INTERIM_STATUS = 100
EGRESS_CALLER = "egress"
INTERIM_HEADER = b"jacinthshed-interim"
REQUEST_ID_BITS = 64
LEAVING_RETRY_AFTER_MS = 100
NO_BUNDLE_RETRY_AFTER_MS = 1_000

_DOUBLED = Refusal(
    Verdict.NOT_RUN,
    Reason.MALFORMED,
    detail="a request with this id is in hand; give each attempt an id of its own",
)


class Ending(NamedTuple):
    """How a request ended: with a reply or a refusal, after ``elapsed_ms``."""

    elapsed_ms: float
    reply: Reply | None
    refusal: Refusal | None


class Gateway:
    """Serves callers at the entry and this node's own backend server at the egress.

    ``policy`` gives what is in force, or ``None`` while the node may not serve yet.
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
        edge: HttpAdapter,
        tools: CallTools,
        refuses_callers: Callable[[], bool],
        confirmed: Callable[[], Awaitable[None]],
        nested: NestedTime,
        learned: ObservedCalls,
        observe: Callable[[Call], ExchangeObserver],
        log: LogDecision,
    ) -> None:
        self._clock = clock
        self._random = random
        self._policy = policy
        self._ledger = ledger
        self._contexts = contexts
        self._links = links
        self._edge = edge
        self._tools = tools
        self._refuses_callers = refuses_callers
        self._confirmed = confirmed
        self._nested = nested
        self._learned = learned
        self._observe = observe
        self._log = log
        self._in_hand: set[str] = set()
        self.in_flight = 0

    async def serve_entry(
        self, request: Request, interim: InterimHandler, *, caller: str = ""
    ) -> Response:
        """Answer a request from ``caller``, or a call of the own backend server.

        A context on it means nothing here.
        """
        if self._refuses_callers():
            refusal = Refusal(Verdict.NOT_RUN, Reason.LEAVING, LEAVING_RETRY_AFTER_MS)
            return self._refuse(request, self._request_id(request), refusal)
        parent = self._contexts.running_attempt(self._edge.parent_id(request.headers))
        return await self._serve(request, interim, parent, caller)

    async def serve_egress(self, request: Request, interim: InterimHandler) -> Response:
        """Answer a call of this node's own backend server."""
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
        await self._confirmed()
        policy = self._policy()
        request_id = self._request_id(request)
        if policy is None:
            refusal = Refusal(
                Verdict.NOT_RUN, Reason.NO_BUNDLE, NO_BUNDLE_RETRY_AFTER_MS
            )
            return self._refuse(request, request_id, refusal)
        arrival = self._arrival(request, request_id, parent, caller)
        parsed = self._edge.read_call(request, arrival, policy)
        if isinstance(parsed, Failure):
            return self._refuse(request, request_id, parsed.failure())
        if request_id in self._in_hand:
            # Its answer could go to the other one.
            return self._refuse(request, request_id, _DOUBLED)
        self._in_hand.add(request_id)
        try:
            port = self._port(request, parsed.unwrap().call, interim)
            end = await self._run(parsed.unwrap(), port)
        finally:
            self._in_hand.discard(request_id)
        return self._edge.call_response(request_id, end)

    def _request_id(self, request: Request) -> str:
        given = self._edge.request_id(request.headers)
        return given or f"{self._random.getrandbits(REQUEST_ID_BITS):016x}"

    def _refuse(self, request: Request, request_id: str, refusal: Refusal) -> Response:
        """Refuse a request of which nothing was sent anywhere."""
        refusal = self._edge.refusal_before_send(request.headers, refusal)
        self._log_end(request_id, "", Ending(0.0, None, refusal))
        return self._edge.refusal_response(request_id, refusal)

    def _arrival(
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

    async def _run(self, parsed: ParsedCall, port: CallerPort) -> CallEnd:
        call = parsed.call
        began_ms = self._clock.now_ms()
        self._open(call)
        try:
            flow = choose_flow(parsed, self._tools)
            end = await drive(
                flow,
                call,
                links=self._links,
                port=port,
                observer=self._observe(call),
            )
        finally:
            self._close(call)
        self._note_end(call, end, began_ms)
        return end

    def _port(
        self, request: Request, call: Call, interim: InterimHandler
    ) -> CallerPort:
        async def announce(fence: str) -> None:
            if call.parent_id:
                self._contexts.store_fence(call.parent_id, call.key, fence)
                return
            headers = ((FENCE_HEADER, fence.encode()),)
            await interim(Response(INTERIM_STATUS, headers))

        async def alive() -> None:
            await interim(Response(INTERIM_STATUS))

        asked = header(request.headers, INTERIM_HEADER) is not None
        return CallerPort(announce, alive if asked else None)

    def _open(self, call: Call) -> None:
        if call.ledger_id == call.request_id:
            self._ledger.open(call.ledger_id, call.allowance)
        parent = self._contexts.get(call.parent_id)
        if parent is not None:
            now_ms = self._clock.now_ms()
            self._nested.call_started(now_ms, call.parent_id)
            self._learned.record(now_ms, parent.route, call.route)

    def _close(self, call: Call) -> None:
        if call.parent_id:
            self._nested.call_ended(self._clock.now_ms(), call.parent_id)
        if call.ledger_id == call.request_id:
            self._ledger.close(call.ledger_id)

    def _note_end(self, call: Call, end: CallEnd, began_ms: float) -> None:
        if end.reply is not None and call.parent_id:
            self._contexts.add_calls_done(call.parent_id, 1 + end.reply.calls_done)
        if end.refusal is not None and not call.parent_id:
            self._tools.record_refusal(call, end.refusal)
        elapsed_ms = self._clock.now_ms() - began_ms
        self._log_end(
            call.request_id, call.route, Ending(elapsed_ms, end.reply, end.refusal)
        )

    def _log_end(self, request_id: str, route: str, ending: Ending) -> None:
        elapsed_ms, reply, refusal = ending
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
