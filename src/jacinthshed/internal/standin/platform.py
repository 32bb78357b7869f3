"""A stand-in for the configuration service of the platform.

``python -m jacinthshed.internal.standin.platform --listen 127.0.0.1:0``
"""

from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import cyclopts
import msgspec
import trio

from ..http.drain import Drain
from ..http.limits import HttpLimits
from ..http.message import Request, Response
from ..http.network import Network, tcp_network
from ..http.server import InterimHandler, RequestHandler, serve_connection
from .platform_state import Mode, PlatformState
from .program import run_until_signal

MAX_VALUE_BYTES = 1_048_576

_SLOW_DELAY_MS = 2_000
_JSON = (b"content-type", b"application/json")
_READ_PREFIX = "/v1/"
_PUT_PREFIX = "/admin/put/"


async def serve_platform(
    state: PlatformState,
    network: Network,
    address: str,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``state`` on ``address`` until cancelled."""
    drain = Drain()
    limits = HttpLimits(body_bytes=MAX_VALUE_BYTES)
    handler = platform_handler(state)

    async def handle_connection(stream: trio.abc.Stream) -> None:
        await serve_connection(
            stream, handler, limits=limits, drain=drain, cancel_on_disconnect=True
        )

    await network.listen(address, handle_connection, task_status=task_status)


def platform_handler(state: PlatformState) -> RequestHandler:
    """Return the handler of reads, watches and the admin interface."""

    async def handle(request: Request, send_interim: InterimHandler) -> Response:
        target = urlsplit(request.target.decode())
        if target.path.startswith(_READ_PREFIX):
            query = parse_qs(target.query)
            return await _read(state, target.path.removeprefix(_READ_PREFIX), query)
        return _handle_admin(state, target.path, request.body)

    return handle


async def _read(
    state: PlatformState, key: str, query: dict[str, list[str]]
) -> Response:
    state.count_call()
    if state.mode is Mode.DOWN:
        return Response(503)
    if state.mode is Mode.SLOW:
        await trio.sleep(_SLOW_DELAY_MS / 1_000)
    after = int(query.get("after", ["0"])[0])
    wait_ms = int(query.get("wait_ms", ["0"])[0])
    state.watches += 1
    try:
        entry = await state.wait_after(key, after, wait_ms)
    finally:
        state.watches -= 1
    if state.mode is Mode.DOWN:
        return Response(503)
    return Response(204) if entry is None else _json(entry._asdict())


def _handle_admin(state: PlatformState, path: str, body: bytes) -> Response:
    if path.startswith(_PUT_PREFIX):
        entry = state.put(path.removeprefix(_PUT_PREFIX), body.decode())
        return _json({"revision": entry.revision})
    if path == "/admin/mode":
        if body.decode() not in list(Mode):
            return Response(400, body=b"send one of: normal down stale slow\n")
        state.set_mode(Mode(body.decode()))
        return _json({"mode": state.mode})
    if path == "/admin/calls":
        return _json(
            {
                "count": state.calls,
                "peak_per_s": state.peak_per_s,
                "watches": state.watches,
            }
        )
    return Response(404)


def _json(document: object) -> Response:
    return Response(200, (_JSON,), msgspec.json.encode(document))


def main(listen: str = "127.0.0.1:0", put: tuple[str, ...] = ()) -> None:
    """Serve until SIGTERM or SIGINT; print the bound address as one line of JSON.

    ``put`` may be given several times as ``KEY=FILE``, to publish a file at the start.
    """
    state = PlatformState()

    async def serve(task_status: trio.TaskStatus[str]) -> None:
        await serve_platform(state, tcp_network(), listen, task_status=task_status)

    async def run() -> None:
        for item in put:
            key, _, file = item.partition("=")
            state.put(key, Path(file).read_text())
        await run_until_signal("platform", serve)

    trio.run(run)


if __name__ == "__main__":
    cyclopts.run(main)
