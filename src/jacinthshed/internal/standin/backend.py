"""A stand-in backend server with simulated work.

``python -m jacinthshed.internal.standin.backend --service refunds --host host-1``
"""

import os
import random
from collections.abc import Callable
from typing import Annotated

import cyclopts
import msgspec
import trio

from ..http.client import BackendPool
from ..http.drain import Drain
from ..http.limits import HttpLimits
from ..http.message import Request, Response, header
from ..http.network import Network, tcp_network
from ..http.outcome import ExchangeFailed, Outcome
from ..http.server import InterimHandler, RequestHandler, serve_connection
from .backend_options import BackendOptions
from .backend_state import BackendState, ShedAnswer
from .backend_work import CONTEXT_FIELD, SendNested, run_request
from .program import run_until_signal

CRASH_FIELD = b"x-crash"
CRASH_MARK = b"crash the backend server"

_CRASH_EXIT_CODE = 70
_EGRESS_CONNECTIONS = 200
_MAX_ANSWER_BYTES = 4_194_304
_JSON = (b"content-type", b"application/json")


class _AdminUpdate(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /admin``; settings that are missing from it stay unchanged."""

    multiplier: float | None = None
    shed: ShedAnswer | None = None
    draining: bool | None = None


async def serve_backend(
    state: BackendState,
    network: Network,
    address: str,
    *,
    send_nested: SendNested,
    rng: random.Random,
    crash: Callable[[], None],
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``state`` on ``address`` until cancelled.

    ``send_nested`` sends the calls that a request makes to other services. ``crash`` is
    called for a request with the field ``x-crash`` or with ``CRASH_MARK`` in its body.
    """
    drain = Drain()
    handler = backend_handler(state, send_nested, rng, crash)

    async def handle_connection(stream: trio.abc.Stream) -> None:
        await serve_connection(
            stream,
            handler,
            limits=HttpLimits(),
            drain=drain,
            cancel_on_disconnect=True,
        )

    await network.listen(address, handle_connection, task_status=task_status)


def backend_handler(
    state: BackendState,
    send_nested: SendNested,
    rng: random.Random,
    crash: Callable[[], None],
) -> RequestHandler:
    """Return the handler of requests, health checks and the admin interface."""

    async def handle(request: Request, send_interim: InterimHandler) -> Response:
        if request.target == b"/healthz":
            return _json(state.lagged_health()._asdict())
        if request.target.startswith(b"/admin"):
            return _handle_admin(state, request)
        if header(request.headers, CRASH_FIELD) or CRASH_MARK in request.body:
            crash()
        response = await run_request(state, request, send_nested, rng)
        context = header(request.headers, CONTEXT_FIELD)
        if context is None:
            return response
        # Lets the node use this connection again.
        headers = (*response.headers, (CONTEXT_FIELD, context))
        return response._replace(headers=headers)

    return handle


def egress_calls(network: Network, address: str) -> SendNested:
    """Return a function that sends calls through the node egress at ``address``."""
    pool = BackendPool(
        connect=network.connect, address=address, max_connections=_EGRESS_CONNECTIONS
    )

    async def call(request: Request, timeout_ms: float) -> Outcome:
        return await pool.request(
            request, timeout_ms=timeout_ms, max_body_bytes=_MAX_ANSWER_BYTES
        )

    return call


async def refuse_nested_calls(request: Request, timeout_ms: float) -> Outcome:
    """Fail every nested call, as the server was started without an egress."""
    return ExchangeFailed(False, "this server was started without --egress")


def _handle_admin(state: BackendState, request: Request) -> Response:
    if request.method == b"GET":
        return _json(
            {
                "starts": state.starts,
                "in_hand": state.in_hand,
                "finished": state.finished,
                "shed": state.shed,
                "cancelled": state.cancelled,
            }
        )
    try:
        update = msgspec.json.decode(request.body, type=_AdminUpdate)
    except msgspec.MsgspecError as error:
        return Response(400, body=f"{error}\n".encode())
    if update.multiplier is not None:
        state.multiplier = update.multiplier
    if update.shed is not None:
        state.shed_answer = update.shed
    if update.draining is not None:
        state.draining = update.draining
    return _json({"multiplier": state.multiplier, "draining": state.draining})


def _json(document: object) -> Response:
    return Response(200, (_JSON,), msgspec.json.encode(document))


def main(
    *,
    service: str,
    host: str = "host",
    listen: str = "127.0.0.1:0",
    egress: str = "",
    calls: str = "",
    seed: int = 0,
    options: Annotated[str, cyclopts.Parameter(help="JSON of BackendOptions")] = "{}",
) -> None:
    """Serve until SIGTERM or SIGINT; print the bound address as one line of JSON."""
    fields = msgspec.json.decode(options)
    call_paths = tuple(path for path in calls.split(",") if path)
    fields.update(host=host, service=service, calls=call_paths)
    backend_options = msgspec.convert(fields, BackendOptions)
    network = tcp_network()
    send_nested = egress_calls(network, egress) if egress else refuse_nested_calls

    async def serve(task_status: trio.TaskStatus[str]) -> None:
        await serve_backend(
            BackendState(options=backend_options),
            network,
            listen,
            send_nested=send_nested,
            rng=random.Random(seed),
            crash=lambda: os._exit(_CRASH_EXIT_CODE),
            task_status=task_status,
        )

    trio.run(run_until_signal, f"backend {host}", serve)


if __name__ == "__main__":
    cyclopts.run(main)
