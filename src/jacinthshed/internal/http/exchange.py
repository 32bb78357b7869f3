"""One connection to a backend server, and one exchange on it."""

import functools
from collections.abc import Callable

import h11
import trio

from .errors import BadResponseError
from .head import HEAD_END
from .message import (
    CONTENT_LENGTH,
    HOST,
    Headers,
    InterimHandler,
    Request,
    Response,
    without_hop_by_hop_fields,
)
from .response_head import ResponseHead, read_response_head
from .write_head import request_head

_RECEIVE_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
# Responses to earlier requests that are skipped before a connection is given up.
_MAX_STRAYS = 3
_METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


ResponseMatcher = Callable[[Headers], bool]
"""Tells the answer to a request from a stray one, by its header fields."""


class ClientConnection:
    """A connection that carries one exchange at a time.

    ``sent`` tells whether the current request was handed to the socket, ``reusable``
    whether the last exchange left the connection fit for another. ``idle_limit_ms`` is
    how long the server keeps it open between exchanges, where it says so.
    """

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.sent = False
        self.reusable = True
        self.idle_since_s = 0.0
        self.idle_limit_ms: float | None = None
        self._received = bytearray()

    async def exchange(
        self,
        request: Request,
        *,
        max_body_bytes: int,
        on_interim: InterimHandler | None = None,
        accepts: ResponseMatcher | None = None,
    ) -> Response:
        """Send ``request`` and return the whole response.

        Responses that ``accepts`` refuses belong to an earlier request; they are
        dropped, and the connection is not used again. Raises ``BadResponseError``, or
        trio's errors of a broken stream.
        """
        self.sent = False
        self.reusable = False
        library = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
        data = _encode(request, library)
        self.sent = True
        await self.stream.send_all(data)
        response, keeps_open = await self._read_response(
            request, library, max_body_bytes, on_interim
        )
        strays = 0
        while accepts is not None and not accepts(response.headers):
            strays += 1
            if strays > _MAX_STRAYS or not keeps_open:
                raise BadResponseError("the response belongs to another request")
            library = h11.Connection(
                h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
            )
            _encode(request, library)
            response, keeps_open = await self._read_response(
                request, library, max_body_bytes, on_interim
            )
        # Only now, as an exchange that is given up earlier leaves bytes behind.
        self.reusable = keeps_open and not self._received and not strays
        return response

    async def _read_response(
        self,
        request: Request,
        library: h11.Connection,
        max_body_bytes: int,
        on_interim: InterimHandler | None,
    ) -> tuple[Response, bool]:
        """Return the next response and whether it leaves the connection open."""
        event = await self._read_final_head(library, on_interim)
        head = read_response_head(request, event)
        body = await self._read_body(head, library, max_body_bytes)
        if head.idle_ms is not None:
            self.idle_limit_ms = head.idle_ms
        return Response(head.status, head.headers, body), head.keeps_open

    def is_closed_by_peer(self) -> bool:
        """Return whether an idle connection has something to read: its end."""
        socket = getattr(self.stream, "socket", None)
        return socket is not None and socket.is_readable()

    async def _read_final_head(
        self, library: h11.Connection, on_interim: InterimHandler | None
    ) -> h11.Response:
        while True:
            library.receive_data(await self._read_head())
            event = _next_event(library)
            if type(event) is h11.Response:
                return event
            if type(event) is not h11.InformationalResponse:
                raise BadResponseError("the head is no response")
            if on_interim is not None:
                headers = without_hop_by_hop_fields(tuple(event.headers))
                await on_interim(Response(event.status_code, headers))

    async def _read_head(self) -> bytes:
        searched = 0
        while (end := self._received.find(HEAD_END, searched)) < 0:
            if len(self._received) > _MAX_HEAD_BYTES:
                raise BadResponseError("the head of the response is too large")
            searched = max(0, len(self._received) - len(HEAD_END))
            await self._receive_more()
        return self._take(end + len(HEAD_END))

    async def _read_body(
        self, head: ResponseHead, library: h11.Connection, max_body_bytes: int
    ) -> bytes:
        if head.body_length is None:
            return await self._read_events(library, max_body_bytes)
        return await self._read_counted(head.body_length, max_body_bytes)

    async def _read_counted(self, length: int, max_body_bytes: int) -> bytes:
        if length > max_body_bytes:
            raise BadResponseError(f"the body is over {max_body_bytes} bytes")
        while len(self._received) < length:
            await self._receive_more()
        return self._take(length)

    async def _read_events(self, library: h11.Connection, max_body_bytes: int) -> bytes:
        """Read a body that is chunked, or that ends with the connection."""
        body = bytearray()
        library.receive_data(self._take(len(self._received)))
        while True:
            event = _next_event(library)
            if type(event) is h11.EndOfMessage:
                self._received += library.trailing_data[0]
                return bytes(body)
            if type(event) is h11.Data:
                body += event.data
            elif event is h11.NEED_DATA:
                library.receive_data(await self._receive())
            else:
                raise BadResponseError("the body ends before its length")
            if len(body) > max_body_bytes:
                raise BadResponseError(f"the body is over {max_body_bytes} bytes")

    async def _receive(self) -> bytes:
        return bytes(await self.stream.receive_some(_RECEIVE_BYTES))

    async def _receive_more(self) -> None:
        data = await self._receive()
        if not data:
            raise BadResponseError("the connection closed before the whole response")
        self._received += data

    def _take(self, count: int) -> bytes:
        taken = bytes(self._received[:count])
        del self._received[:count]
        return taken


def _encode(request: Request, library: h11.Connection) -> bytes:
    headers = list(request.headers)
    if request.body or request.method in _METHODS_WITH_BODY:
        headers.append((CONTENT_LENGTH, str(len(request.body)).encode()))
    head = request_head(request.method, request.target, headers)
    # The library has to see a request of this method before it reads the response.
    library.send(_request_event(request.method))
    return head + request.body


@functools.lru_cache(maxsize=32)
def _request_event(method: bytes) -> h11.Request:
    return h11.Request(method=method, target=b"/", headers=[(HOST, b"")])


def _next_event(library: h11.Connection) -> object:
    try:
        return library.next_event()
    except h11.RemoteProtocolError as error:
        raise BadResponseError(str(error)) from error
