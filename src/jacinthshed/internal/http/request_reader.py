"""Reads complete requests from one connection."""

import math
import re
from typing import NamedTuple

import h11
import trio

from ..timing.coarse_timer import CoarseTimer
from .drain import Drain
from .errors import BadRequestError
from .head import HEAD_END, check_start, parse_head
from .limits import HttpLimits
from .message import Request, without_hop_by_hop_fields

_RECEIVE_BYTES = 65_536
_MS_PER_S = 1_000
_KEY_FIELD = b"\nidempotency-key"
_NEW_FENCE_FIELD = re.compile(rb"\njacinthshed-fence:\s*new\s*\r?\n")


class IncomingRequest(NamedTuple):
    """A complete request, and the h11 connection that encodes its response.

    ``keeps_open`` is true when the client may send another request afterwards.
    """

    request: Request
    connection: h11.Connection
    keeps_open: bool


class RequestReader:
    """Buffers the bytes received on a connection and parses them into requests.

    ``timer`` cancels ``scope``, the cancel scope of the connection, and so bounds each
    wait for the client. ``is_partial`` is true while a request is incomplete.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        scope: trio.CancelScope,
        timer: CoarseTimer,
        limits: HttpLimits,
        drain: Drain,
    ) -> None:
        self.is_partial = False
        self._scope = scope
        self._timer = timer
        self._stream = stream
        self._limits = limits
        self._drain = drain
        self._received = bytearray()
        self._head = b""

    async def read(self) -> IncomingRequest | None:
        """Return the next request, or ``None`` when the client has closed.

        When a request exceeds ``read_ms``, the scope is cancelled while ``is_partial``
        is true. Raises ``BadRequestError`` for an invalid or truncated request.
        """
        if not await self._wait_for_start():
            return None
        incoming = await self._read_whole()
        # A time limit that has already expired would otherwise cancel the handler.
        if self._scope.cancel_called:
            await trio.lowlevel.checkpoint()
        self._timer.clear()
        # A drain that has started may have set a deadline.
        if self._scope.deadline != math.inf:
            self._scope.deadline = math.inf
        self.is_partial = False
        return incoming

    async def has_disconnected(self) -> bool:
        """Return whether the end of the client's stream has already been received."""
        if len(self._received) > self._limits.head_bytes:
            return False
        socket = getattr(self._stream, "socket", None)
        if socket is None or not socket.is_readable():
            return False
        return not await self._receive()

    async def wait_for_disconnect(self) -> None:
        """Return when the client closes; buffer what it sends until then.

        Stops reading once more than ``head_bytes`` are buffered.
        """
        try:
            while len(self._received) <= self._limits.head_bytes:
                if not await self._receive():
                    return
        except trio.BrokenResourceError:
            return
        await trio.sleep_forever()

    async def _wait_for_start(self) -> bool:
        """Wait for the first byte of a request; return whether it was received."""
        if self._received:
            return True
        idle_s = self._limits.idle_ms / _MS_PER_S
        self._timer.set(trio.current_time() + idle_s)
        self._drain.enter_idle(self._scope)
        try:
            return await self._receive()
        finally:
            self._drain.leave_idle(self._scope)

    async def _receive(self) -> bool:
        """Receive some bytes; return false at the end of the stream."""
        data = await self._stream.receive_some(_RECEIVE_BYTES)
        self._received += data
        return bool(data)

    @property
    def may_be_resend(self) -> bool:
        """Whether the bytes read so far hold a key that may have been sent before.

        This searches the raw bytes, as it applies to requests that can't be parsed.
        """
        raw_head = bytes(self._head or self._received).lower()
        return _KEY_FIELD in raw_head and _NEW_FENCE_FIELD.search(raw_head) is None

    async def _read_whole(self) -> IncomingRequest:
        self._head = b""
        head = await self._read_head()
        self._head = head
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        parsed = parse_head(head, connection)
        body = await self._read_body(parsed.body_length, connection)
        headers = without_hop_by_hop_fields(parsed.headers)
        request = Request(parsed.method, parsed.target, headers, body)
        return IncomingRequest(request, connection, parsed.keeps_open)

    async def _read_head(self) -> bytes:
        searched = 0
        while True:
            check_start(self._received)
            end = self._received.find(HEAD_END, searched)
            if end >= 0:
                break
            if len(self._received) > self._limits.head_bytes:
                break
            searched = max(0, len(self._received) - len(HEAD_END))
            await self._receive_more()
        if end < 0 or end > self._limits.head_bytes:
            raise BadRequestError(
                431, f"send at most {self._limits.head_bytes} bytes of header fields"
            )
        return self._consume(end + len(HEAD_END))

    async def _read_body(self, length: int | None, connection: h11.Connection) -> bytes:
        if length == 0:
            return b""
        if length is not None and length > self._limits.body_bytes:
            raise self._body_too_large()
        if connection.they_are_waiting_for_100_continue and not self._received:
            await self._send_continue(connection)
        if length is None:
            return await self._read_chunked(connection)
        while len(self._received) < length:
            await self._receive_more()
        return self._consume(length)

    async def _read_chunked(self, connection: h11.Connection) -> bytes:
        body = bytearray()
        raw = bytearray()
        while True:
            raw += self._received
            if self._received:
                connection.receive_data(self._consume(len(self._received)))
            if len(raw) > self._limits.body_bytes * 2 + _RECEIVE_BYTES:
                raise self._body_too_large()
            if self._append_chunks(connection, body):
                break
            await self._receive_more()
        self._received += connection.trailing_data[0]
        # h11 accepts a bare LF as the empty line after the last chunk.
        if not raw.endswith(HEAD_END, 0, len(raw) - len(self._received)):
            raise BadRequestError(400, "end the last chunk with CR LF")
        return bytes(body)

    def _append_chunks(self, connection: h11.Connection, body: bytearray) -> bool:
        """Append the chunks received to ``body``; return whether it is complete."""
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(400, str(error)) from error
            if type(event) is h11.EndOfMessage:
                if event.headers:
                    raise BadRequestError(400, "send no trailer fields")
                return True
            if type(event) is not h11.Data:
                return False
            body += event.data
            if len(body) > self._limits.body_bytes:
                raise self._body_too_large()

    async def _send_continue(self, connection: h11.Connection) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        data = connection.send(interim)
        assert data is not None
        await self._stream.send_all(data)

    async def _receive_more(self) -> None:
        if not self.is_partial:
            # Set here only, as most requests arrive in one piece and need no timer.
            read_s = self._limits.read_ms / _MS_PER_S
            self._timer.set(trio.current_time() + read_s)
            self.is_partial = True
        if not await self._receive():
            raise BadRequestError(400, "the connection closed inside a request")

    def _consume(self, count: int) -> bytes:
        consumed = bytes(self._received[:count])
        del self._received[:count]
        return consumed

    def _body_too_large(self) -> BadRequestError:
        return BadRequestError(
            413, f"send a body of at most {self._limits.body_bytes} bytes"
        )
