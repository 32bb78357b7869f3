"""A stand-in backend server.

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
from ..http.server import Informational, RequestHandler, serve_connection
from .backend_options import BackendOptions
from .backend_state import BackendState, ShedAnswer
from .backend_work import SendNested, work
from .program import run_until_signal

CRASH_FIELD = b"x-crash"
CRASH_MARK = b"crash the backend server"

_CRASH_EXIT_CODE = 70
_EGRESS_CONNECTIONS = 200
_MAX_ANSWER_BYTES = 4_194_304
_JSON = (b"content-type", b"application/json")


class _Switches(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /admin``; what is missing stays."""

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

    ``send_nested`` sends calls to other services. ``crash`` runs for a marked request.
    """
    drain = Drain()
    handler = backend_handler(state, send_nested, rng, crash)

    async def connected(stream: trio.abc.Stream) -> None:
        await serve_connection(
            stream,
            handler,
            limits=HttpLimits(),
            drain=drain,
            cancel_on_disconnect=True,
        )

    await network.listen(address, connected, task_status=task_status)


def backend_handler(
    state: BackendState,
    send_nested: SendNested,
    rng: random.Random,
    crash: Callable[[], None],
) -> RequestHandler:
    """Return the handler of work, health and switches."""

    async def handle(request: Request, informational: Informational) -> Response:
        if request.target == b"/healthz":
            return _json(state.shown_health()._asdict())
        if request.target.startswith(b"/admin"):
            return _administer(state, request)
        if header(request.headers, CRASH_FIELD) or CRASH_MARK in request.body:
            crash()
        return await work(state, request, send_nested, rng)

    return handle


def egress_calls(network: Network, address: str) -> SendNested:
    """Return a function that sends calls through a node's egress at ``address``."""
    pool = BackendPool(
        connect=network.connect, address=address, max_connections=_EGRESS_CONNECTIONS
    )

    async def call(request: Request, timeout_ms: float) -> Outcome:
        return await pool.request(
            request, timeout_ms=timeout_ms, max_body_bytes=_MAX_ANSWER_BYTES
        )

    return call


async def refuse_nested_calls(request: Request, timeout_ms: float) -> Outcome:
    """Refuse every call, for a server without an egress."""
    return ExchangeFailed(False, "this server was started without --egress")


def _administer(state: BackendState, request: Request) -> Response:
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
        switches = msgspec.json.decode(request.body, type=_Switches)
    except msgspec.MsgspecError as error:
        return Response(400, body=f"{error}\n".encode())
    if switches.multiplier is not None:
        state.multiplier = switches.multiplier
    if switches.shed is not None:
        state.shed_answer = switches.shed
    if switches.draining is not None:
        state.draining = switches.draining
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
    """Serve until a signal; print the bound address as one JSON line."""
    fields = msgspec.json.decode(options)
    paths = tuple(path for path in calls.split(",") if path)
    fields.update(host=host, service=service, calls=paths)
    chosen = msgspec.convert(fields, BackendOptions)
    network = tcp_network()
    send_nested = egress_calls(network, egress) if egress else refuse_nested_calls

    async def serve(task_status: trio.TaskStatus[str]) -> None:
        await serve_backend(
            BackendState(options=chosen),
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
