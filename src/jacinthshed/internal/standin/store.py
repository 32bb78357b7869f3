"""A stand-in for the key-value store of the platform, which nodes only read."""

from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from ..http.drain import Drain
from ..http.limits import HttpLimits
from ..http.message import Request, Response
from ..http.network import Network
from ..http.server import InterimHandler, RequestHandler, serve_connection
from .store_state import StoreFaultMode, StoreState

# Marks a call in ``StoreState.calls`` that accepts an outdated answer.
STALE_SUFFIX = "?stale"
_JSON = (b"content-type", b"application/json")
_STATUSES = {StoreFaultMode.BUSY: 503, StoreFaultMode.MANY: 429}


async def serve_store(
    state: StoreState,
    network: Network,
    address: str,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``state`` on ``address`` until cancelled."""
    drain = Drain()
    handler = _handler(state)

    async def handle_connection(stream: trio.abc.Stream) -> None:
        fault = state.faults.popleft() if state.faults else None
        if fault is StoreFaultMode.CLOSED:
            await trio.aclose_forcefully(stream)
        elif fault is StoreFaultMode.SILENT:
            await trio.sleep_forever()
        elif fault is StoreFaultMode.CUT_SHORT:
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
            await stream.aclose()
        elif fault is not None:
            await _refuse(stream, _STATUSES[fault])
        else:
            await serve_connection(stream, handler, limits=HttpLimits(), drain=drain)

    await network.listen(address, handle_connection, task_status=task_status)


async def _refuse(stream: trio.abc.Stream, status: int) -> None:
    await stream.receive_some()
    await stream.send_all(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
    await stream.aclose()


def _handler(state: StoreState) -> RequestHandler:
    async def handle(request: Request, send_interim: InterimHandler) -> Response:
        target = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        is_stale = query.get("allow_stale") == "1"
        state.calls.append(f"{target.path}{STALE_SUFFIX if is_stale else ''}")
        if target.path == "/kv-range":
            answer = _range(state, query["prefix"], query.get("after", ""))
        elif target.path == "/kv-watch":
            answer = await _watch(state, query)
        else:
            answer = Response(404)
        era = (b"store-era", str(state.era).encode())
        return answer._replace(headers=(*answer.headers, era))

    return handle


def _range(state: StoreState, prefix: str, after: str) -> Response:
    items, has_more = state.page(prefix, after)
    return _json(
        {
            "items": [item.as_json() for item in items],
            "has_more": has_more,
            "store_revision": state.revision,
        }
    )


async def _watch(state: StoreState, query: dict[str, str]) -> Response:
    after, wait_ms = int(query["after"]), int(query["wait_ms"])
    changes = await state.changes(query["prefix"], after, wait_ms)
    if changes is None:
        return Response(410)
    events = [item.as_json() for item in changes]
    return _json({"events": events, "store_revision": state.revision})


def _json(document: object) -> Response:
    return Response(200, (_JSON,), msgspec.json.encode(document))
