"""Reads whole requests from one connection."""

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
_NEW_KEY_FIELD = re.compile(rb"\njacinthshed-fence:\s*new\s*\r?\n")


class IncomingRequest(NamedTuple):
    """A whole request, and the library's state for writing its response.

    ``keeps_open`` tells whether the client wants to send another one after it.
    """

    request: Request
    connection: h11.Connection
    keeps_open: bool


class RequestReader:
    """Bytes that were received on a connection and are not yet part of a request.

    ``timer`` cancels the connection's ``scope``: it bounds each wait for the client.
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
        """Return the next request, or ``None`` when the connection is over.

        When a request takes too long, the scope's deadline passes while
        ``is_partial`` is true. Raises ``BadRequestError`` for anything else than a
        whole request.
        """
        if not await self._wait_for_start():
            return None
        incoming = await self._read_whole()
        # A limit that has passed by now would cancel the handler half-way.
        if self._scope.cancel_called:
            await trio.lowlevel.checkpoint()
        self._timer.clear()
        # The end of a drain's linger, where one has begun.
        if self._scope.deadline != math.inf:
            self._scope.deadline = math.inf
        self.is_partial = False
        return incoming

    async def has_disconnected(self) -> bool:
        """Return whether the client's end of the connection has arrived already."""
        if len(self._received) > self._limits.head_bytes:
            return False
        socket = getattr(self._stream, "socket", None)
        if socket is None or not socket.is_readable():
            return False
        return not await self._receive()

    async def wait_for_disconnect(self) -> None:
        """Return when the client closes; keep what it sends until then.

        A client that sends more than one head ahead is not read any further.
        """
        try:
            while len(self._received) <= self._limits.head_bytes:
                if not await self._receive():
                    return
        except trio.BrokenResourceError:
            return
        await trio.sleep_forever()

    async def _wait_for_start(self) -> bool:
        """Wait for the first byte of a request; return whether one came."""
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
        """Receive some bytes; return whether there were any."""
        data = await self._stream.receive_some(_RECEIVE_BYTES)
        self._received += data
        return bool(data)

    @property
    def may_be_resend(self) -> bool:
        """Whether what was read so far carries a key that may have been sent before.

        It is a search in raw bytes, as it is asked about what could not be parsed.
        """
        seen = bytes(self._head or self._received).lower()
        return _KEY_FIELD in seen and _NEW_KEY_FIELD.search(seen) is None

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
        return self._take(end + len(HEAD_END))

    async def _read_body(self, length: int | None, connection: h11.Connection) -> bytes:
        if length == 0:
            return b""
        if length is not None and length > self._limits.body_bytes:
            raise self._too_large()
        if connection.they_are_waiting_for_100_continue and not self._received:
            await self._send_continue(connection)
        if length is None:
            return await self._read_chunked(connection)
        while len(self._received) < length:
            await self._receive_more()
        return self._take(length)

    async def _read_chunked(self, connection: h11.Connection) -> bytes:
        body = bytearray()
        raw = bytearray()
        while True:
            raw += self._received
            if self._received:
                connection.receive_data(self._take(len(self._received)))
            if len(raw) > self._limits.body_bytes * 2 + _RECEIVE_BYTES:
                raise self._too_large()
            if self._add_chunks(connection, body):
                break
            await self._receive_more()
        self._received += connection.trailing_data[0]
        # The library takes a bare LF for the blank line after the last chunk.
        if not raw.endswith(HEAD_END, 0, len(raw) - len(self._received)):
            raise BadRequestError(400, "end the last chunk with CR LF")
        return bytes(body)

    def _add_chunks(self, connection: h11.Connection, body: bytearray) -> bool:
        """Add the chunks at hand to ``body``; return whether it is whole."""
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
                raise self._too_large()

    async def _send_continue(self, connection: h11.Connection) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        data = connection.send(interim)
        assert data is not None
        await self._stream.send_all(data)

    async def _receive_more(self) -> None:
        if not self.is_partial:
            # Set here only, as most requests arrive with their first bytes.
            read_s = self._limits.read_ms / _MS_PER_S
            self._timer.set(trio.current_time() + read_s)
            self.is_partial = True
        if not await self._receive():
            raise BadRequestError(400, "the connection closed inside a request")

    def _take(self, count: int) -> bytes:
        taken = bytes(self._received[:count])
        del self._received[:count]
        return taken

    def _too_large(self) -> BadRequestError:
        return BadRequestError(
            413, f"send a body of at most {self._limits.body_bytes} bytes"
        )
