"""A client connection and the exchange of one request and response on it."""

import functools
from collections import deque

import h11
import trio

from ..memory.account import MemoryAccount
from .body_writer import PIECE_BYTES
from .errors import BadResponseError
from .head import HEAD_END
from .matching import Match, ResponseMatcher, may_end_inside_response
from .message import (
    CONTENT_LENGTH,
    HOST,
    InterimHandler,
    Request,
    Response,
    without_hop_by_hop_fields,
)
from .response_body import read_fixed_length, read_until_end
from .response_head import ResponseHead, check_response_head, read_response_head
from .write_head import request_head

_RECEIVE_BYTES = 65_536
_MS_PER_S = 1_000
_MAX_HEAD_BYTES = 65_536
# This many responses to earlier requests are skipped before the exchange fails.
_MAX_MISMATCHED_RESPONSES = 3
# A server may report progress, but not keep an exchange busy with interim responses.
_MAX_INTERIM_RESPONSES = 100
# As many ids of earlier requests are remembered for each connection.
_REMEMBERED_IDS = 64
# A body that ends like the start of a response is held for this time, in which the rest
# of a second response may arrive. It exceeds the least time of a TCP retransmission.
_SECOND_RESPONSE_WAIT_S = 0.25
_METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


class ClientConnection:
    """A connection that carries one exchange at a time.

    ``sent`` is true once the current request was passed to the socket, ``reusable``
    when the last exchange left the connection in a state for another one. ``lacked_id``
    is true once a response that need not have an id had none.
    ``idle_since_s`` is on trio's clock. ``idle_limit_ms`` is how long the server keeps
    an idle connection open, or ``None`` when it has not announced that.
    """

    def __init__(
        self, *, stream: trio.abc.Stream, memory: MemoryAccount | None = None
    ) -> None:
        self.stream = stream
        self._memory = memory or MemoryAccount(now_ms=_now_ms)
        self.sent = False
        self.reusable = True
        self.lacked_id = False
        self.idle_since_s = 0.0
        self.idle_limit_ms: float | None = None
        self._is_new = True
        self._carried_ids: deque[bytes] = deque(maxlen=_REMEMBERED_IDS)
        self._received = bytearray()

    async def exchange(
        self,
        request: Request,
        *,
        max_body_bytes: int,
        on_interim: InterimHandler | None = None,
        matcher: ResponseMatcher | None = None,
    ) -> Response:
        """Send ``request`` and return the complete response.

        Responses that do not match belong to earlier requests: they are dropped. One
        that can't be matched is returned only if no other request was sent on this
        connection. In both cases the connection is not reused. Raises
        ``BadResponseError``, ``h11.LocalProtocolError`` when the request can't be
        encoded, and trio's errors of a broken stream.
        """
        is_new = self._is_new
        protocol = await self._send(request, matcher)
        for mismatched in range(_MAX_MISMATCHED_RESPONSES + 1):
            response, keeps_open = await self._read_response(
                request, protocol, max_body_bytes, on_interim
            )
            match = matcher.match(response.headers) if matcher else Match.OWN
            if match is Match.OWN:
                await self._check_body(response, matcher)
                # Set last: an exchange that ends early may leave unread bytes.
                self.reusable = keeps_open and not self._received and not mismatched
                return response
            if match is Match.UNKNOWN:
                self.lacked_id = matcher is not None and matcher.is_echo_optional
                if is_new and not mismatched:
                    return response
                raise BadResponseError("the response may be to an earlier request")
            if not keeps_open:
                break
            protocol = _protocol_for(request.method)
        raise BadResponseError("the response does not match the request")

    async def _send(
        self, request: Request, matcher: ResponseMatcher | None
    ) -> h11.Connection:
        """Send ``request``; return the connection that parses its response."""
        self.sent = False
        self.reusable = False
        protocol, head = _encode_head(request)
        self.sent = True
        self._is_new = False
        if matcher is not None:
            self._carried_ids.append(matcher.request_id)
        if len(request.body) > PIECE_BYTES:
            await self.stream.send_all(head)
            await self.stream.send_all(memoryview(request.body))
        else:
            await self.stream.send_all(head + request.body)
        return protocol

    async def _read_response(
        self,
        request: Request,
        protocol: h11.Connection,
        max_body_bytes: int,
        on_interim: InterimHandler | None,
    ) -> tuple[Response, bool]:
        """Return the next response and whether the connection stays open after it."""
        event = await self._read_final_head(protocol, on_interim)
        head = read_response_head(request, event)
        body = await self._read_body(head, protocol, max_body_bytes)
        if head.idle_ms is not None:
            self.idle_limit_ms = head.idle_ms
        return Response(head.status, head.headers, body), head.keeps_open

    async def _check_body(
        self, response: Response, matcher: ResponseMatcher | None
    ) -> None:
        """Raise ``BadResponseError`` if a second response completes the body.

        A server that stops inside a body and sends another response fills it up with
        the first bytes of that one. No length shows it, but more bytes follow then.
        """
        if matcher is None:
            return
        body, rest = response.body, bytes(self._received)
        if matcher.finds_response_in(body, rest, self._carried_ids):
            raise BadResponseError("the response body contains a second response")
        if not may_end_inside_response(body, rest):
            return
        if not rest:
            await self._wait_for_more()
        if self._received and may_end_inside_response(body, bytes(self._received)):
            raise BadResponseError("a second response begins inside the response body")

    async def _wait_for_more(self) -> None:
        """Receive what follows a whole response, if anything comes soon."""
        with trio.move_on_after(_SECOND_RESPONSE_WAIT_S):
            try:
                self._received += await self._receive()
            except trio.BrokenResourceError:
                return

    def is_closed_by_peer(self) -> bool:
        """Return whether this idle connection is readable, thus closed or unusable."""
        socket = getattr(self.stream, "socket", None)
        return socket is not None and socket.is_readable()

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with that id was sent here not long ago.

        A late second answer to it would match a further request with the same id.
        """
        return request_id in self._carried_ids

    async def _read_final_head(
        self, protocol: h11.Connection, on_interim: InterimHandler | None
    ) -> h11.Response:
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            head = await self._read_head()
            check_response_head(head)
            protocol.receive_data(head)
            event = _next_event(protocol)
            if type(event) is h11.Response:
                return event
            if type(event) is not h11.InformationalResponse:
                raise BadResponseError("the server did not send a response head")
            if on_interim is not None:
                headers = without_hop_by_hop_fields(tuple(event.headers))
                await on_interim(Response(event.status_code, headers))
        raise BadResponseError(
            f"the server sent more than {_MAX_INTERIM_RESPONSES} interim responses"
        )

    async def _read_head(self) -> bytes:
        searched = 0
        while (end := self._received.find(HEAD_END, searched)) < 0:
            if len(self._received) > _MAX_HEAD_BYTES:
                raise BadResponseError(
                    f"the response head exceeds {_MAX_HEAD_BYTES} bytes"
                )
            searched = max(0, len(self._received) - len(HEAD_END))
            await self.receive_more()
        return self._consume(end + len(HEAD_END))

    async def _read_body(
        self, head: ResponseHead, protocol: h11.Connection, max_body_bytes: int
    ) -> bytes:
        if head.body_length is not None:
            return await read_fixed_length(
                self, head.body_length, max_body_bytes, self._memory
            )
        if self._received:
            # h11 would take empty data for the end of the stream, and so an answer
            # whose body arrives after its head for a complete one without a body.
            protocol.receive_data(self._consume(len(self._received)))
        body = await read_until_end(
            protocol, _next_event, self._receive, max_body_bytes, self._memory
        )
        self._received += protocol.trailing_data[0]
        return body

    def take(self, max_bytes: int) -> bytes:
        """Remove and return bytes that were received, at most ``max_bytes``."""
        return self._consume(min(max_bytes, len(self._received)))

    async def _receive(self) -> bytes:
        return bytes(await self.stream.receive_some(_RECEIVE_BYTES))

    async def receive_more(self) -> None:
        """Receive further bytes; raise ``BadResponseError`` at the end."""
        data = await self._receive()
        if not data:
            raise BadResponseError("the connection closed before the whole response")
        self._received += data

    def _consume(self, count: int) -> bytes:
        consumed = bytes(self._received[:count])
        del self._received[:count]
        return consumed


def _now_ms() -> float:
    return trio.current_time() * _MS_PER_S


def _encode_head(request: Request) -> tuple[h11.Connection, bytes]:
    """Return the connection that parses the response to ``request``, and its head."""
    headers = list(request.headers)
    if request.body or request.method in _METHODS_WITH_BODY:
        headers.append((CONTENT_LENGTH, str(len(request.body)).encode()))
    head = request_head(request.method, request.target, headers)
    return _protocol_for(request.method), head


def _protocol_for(method: bytes) -> h11.Connection:
    protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)
    # h11 needs the method of the request to parse the response.
    protocol.send(_request_event(method))
    return protocol


@functools.lru_cache(maxsize=32)
def _request_event(method: bytes) -> h11.Request:
    return h11.Request(method=method, target=b"/", headers=[(HOST, b"")])


def _next_event(protocol: h11.Connection) -> object:
    try:
        return protocol.next_event()
    except h11.RemoteProtocolError as error:
        raise BadResponseError(str(error)) from error
