"""The server side of one HTTP connection."""

from collections.abc import Awaitable, Callable

import h11
import trio

from ..telemetry.log import get_logger
from ..verdict import Reason, Refusal, Verdict
from .drain import Drain
from .errors import BadRequestError
from .limits import HttpLimits
from .message import CONTENT_LENGTH, Request, Response
from .problem import malformed_response, refusal_response
from .request_reader import IncomingRequest, RequestReader

Informational = Callable[[Response], Awaitable[None]]
RequestHandler = Callable[[Request, Informational], Awaitable[Response]]

_CONNECTION_CLOSE = (b"connection", b"close")
_MS_PER_S = 1_000
_LINGER_S = 0.5
_LINGER_BYTES = 1_048_576
_NO_BODY_STATUSES = (204, 304)

log = get_logger(__name__)


async def serve_connection(
    stream: trio.abc.Stream,
    handler: RequestHandler,
    *,
    limits: HttpLimits,
    drain: Drain,
    cancel_on_disconnect: bool = False,
) -> None:
    """Answer the requests of ``stream`` until it ends; then close it.

    ``handler`` sees whole and well-formed requests only. Anything else is answered
    with a 4xx status and a closed connection. ``cancel_on_disconnect`` cancels the
    handler when the client closes, at the price of one more task a request.
    """
    reader = RequestReader(stream=stream, limits=limits, drain=drain)
    if cancel_on_disconnect:
        handler = _cancelled_on_disconnect(handler, reader)
    try:
        async with stream:
            while await _serve_one(stream, reader, handler, limits, drain):
                pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def _serve_one(
    stream: trio.abc.Stream,
    reader: RequestReader,
    handler: RequestHandler,
    limits: HttpLimits,
    drain: Drain,
) -> bool:
    """Answer one request; return whether the connection may carry another."""
    try:
        incoming = await reader.read()
    except BadRequestError as error:
        await _refuse_and_linger(stream, error)
        return False
    if incoming is None:
        return False
    response = await _handle(stream, handler, incoming)
    last = drain.started
    try:
        data = _encode(incoming, response, last)
    except h11.LocalProtocolError:
        log.exception("response can't be written", target=incoming.request.target)
        return False
    with trio.move_on_after(limits.write_ms / _MS_PER_S):
        await stream.send_all(data)
        return incoming.connection.our_state is not h11.MUST_CLOSE and not last
    return False


async def _handle(
    stream: trio.abc.Stream, handler: RequestHandler, incoming: IncomingRequest
) -> Response:
    async def informational(interim: Response) -> None:
        if incoming.connection.their_http_version != b"1.1":
            return
        event = h11.InformationalResponse(
            status_code=interim.status, headers=list(interim.headers)
        )
        await stream.send_all(incoming.connection.send(event) or b"")

    try:
        return await handler(incoming.request, informational)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        raise
    except Exception:
        # One request's fault must not take the process and all others with it.
        log.exception("request handler failed", target=incoming.request.target)
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED)
        return refusal_response(refusal, status=500)


def _cancelled_on_disconnect(
    handler: RequestHandler, reader: RequestReader
) -> RequestHandler:
    async def handle(request: Request, informational: Informational) -> Response:
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await reader.wait_for_disconnect()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            response = await handler(request, informational)
            nursery.cancel_scope.cancel()
            return response
        raise trio.ClosedResourceError("the client closed its connection")

    return handle


def _encode(incoming: IncomingRequest, response: Response, last: bool) -> bytes:
    method = incoming.request.method
    headers = list(response.headers)
    has_body = response.status not in _NO_BODY_STATUSES and method != b"HEAD"
    if has_body:
        headers.append((CONTENT_LENGTH, str(len(response.body)).encode()))
    if last:
        headers.append(_CONNECTION_CLOSE)
    event = h11.Response(status_code=response.status, headers=headers)
    head = incoming.connection.send(event) or b""
    return head + response.body if has_body else head


async def _refuse_and_linger(stream: trio.abc.Stream, error: BadRequestError) -> None:
    """Send a refusal, and read on until the client has had time to take it.

    Closing while received bytes are unread makes the kernel reset the connection,
    and the client would lose the refusal.
    """
    response = malformed_response(error.status, error.detail)
    headers = [
        *response.headers,
        (CONTENT_LENGTH, str(len(response.body)).encode()),
        _CONNECTION_CLOSE,
    ]
    event = h11.Response(status_code=response.status, headers=headers)
    data = h11.Connection(h11.SERVER).send(event) or b""
    with trio.move_on_after(_LINGER_S):
        await stream.send_all(data + response.body)
        if isinstance(stream, trio.abc.HalfCloseableStream):
            await stream.send_eof()
        received = 0
        while received < _LINGER_BYTES:
            chunk = await stream.receive_some()
            if not chunk:
                return
            received += len(chunk)
