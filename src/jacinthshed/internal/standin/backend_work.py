"""Simulates the work of one request at a stand-in backend server."""

import random
from collections.abc import Awaitable, Callable

import msgspec
import trio

from ..http.message import Header, Request, Response, header
from ..http.outcome import Outcome
from ..http.problem import VERDICT_FIELD
from ..verdict import Verdict
from .backend_state import BackendState, ShedAnswer

CONTEXT_FIELD = b"jacinthshed-context"
DEADLINE_FIELD = b"jacinthshed-deadline-ms"
KEY_FIELD = b"idempotency-key"
TOKEN_FIELD = b"x-token"

SendNested = Callable[[Request, float], Awaitable[Outcome]]

_JSON = (b"content-type", b"application/json")
_DEFAULT_DEADLINE_MS = 60_000.0


async def run_request(
    state: BackendState, request: Request, send_nested: SendNested, rng: random.Random
) -> Response:
    """Run ``request`` within its deadline and the limits of slots and queue.

    A refusal has status 503 if the server is draining or full, 504 after the deadline,
    and 502 if a nested call failed.
    """
    if state.draining:
        return _refusal(503, "draining", Verdict.NOT_RUN)
    if state.is_full:
        state.shed += 1
        bare = state.shed_answer is ShedAnswer.BARE
        return _refusal(503, "full", None if bare else Verdict.NOT_RUN)
    state.in_hand += 1
    state.record_health()
    started = False
    try:
        with trio.move_on_after(_deadline_ms(request) / 1_000) as scope:
            async with state.free_slots:
                started = True
                return await _run(state, request, send_nested, rng, scope)
        verdict = Verdict.MAY_HAVE_RUN if started else Verdict.NOT_RUN
        return _refusal(504, "deadline", verdict)
    except trio.Cancelled:
        state.cancelled += 1
        raise
    finally:
        state.in_hand -= 1
        state.record_health()


async def _run(
    state: BackendState,
    request: Request,
    send_nested: SendNested,
    rng: random.Random,
    scope: trio.CancelScope,
) -> Response:
    state.starts[(header(request.headers, KEY_FIELD) or b"").decode()] += 1
    await trio.sleep(state.service_ms(rng.random()) / 1_000)
    nested = []
    for number, path in enumerate(state.options.calls):
        left_ms = (scope.deadline - trio.current_time()) * 1_000
        outcome = await _call(state, request, path, number, left_ms, send_nested)
        if not isinstance(outcome, Response) or outcome.status != 200:
            return _refusal(502, f"{path} failed: {outcome}", Verdict.MAY_HAVE_RUN)
        nested.append(msgspec.Raw(outcome.body))
    state.finished += 1
    return _answer(state, request, nested)


async def _call(
    state: BackendState,
    request: Request,
    path: str,
    number: int,
    left_ms: float,
    send_nested: SendNested,
) -> Outcome:
    timeout_ms = min(left_ms, state.options.call_timeout_ms)
    headers: list[Header] = [(b"host", b"jacinthshed")]
    headers.append((DEADLINE_FIELD, str(max(1, int(timeout_ms))).encode()))
    for field in (CONTEXT_FIELD, TOKEN_FIELD):
        value = header(request.headers, field)
        if value is not None:
            headers.append((field, value))
    method, _, target = path.rpartition(" ")
    key = header(request.headers, KEY_FIELD)
    if key is not None:
        headers.append((KEY_FIELD, b"%s.%d" % (key, number)))
    sent = Request((method or "GET").encode(), target.encode(), tuple(headers))
    return await send_nested(sent, timeout_ms)


def _answer(
    state: BackendState, request: Request, nested: list[msgspec.Raw]
) -> Response:
    document = {
        "service": state.options.service,
        "host": state.options.host,
        "target": request.target.decode(),
        "token": (header(request.headers, TOKEN_FIELD) or b"").decode(),
        "calls": nested,
        "padding": "",
    }
    bare = len(msgspec.json.encode(document))
    document["padding"] = "." * max(0, state.options.answer_bytes - bare)
    return Response(200, (_JSON,), msgspec.json.encode(document))


def _refusal(status: int, detail: str, verdict: Verdict | None) -> Response:
    headers = [_JSON]
    if verdict is not None:
        headers.append((VERDICT_FIELD, verdict.encode()))
    return Response(status, tuple(headers), msgspec.json.encode({"detail": detail}))


def _deadline_ms(request: Request) -> float:
    value = header(request.headers, DEADLINE_FIELD)
    return float(value) if value else _DEFAULT_DEADLINE_MS
