"""Reads complete requests from one connection."""

import math
import re
from typing import NamedTuple

import h11
import trio

from ..memory.account import Kind, MemoryAccount
from ..timing.coarse_timer import CoarseTimer
from .drain import Drain
from .errors import BadRequestError, NoMemoryError
from .head import HEAD_END, check_start, parse_head
from .limits import HttpLimits
from .message import Request, without_hop_by_hop_fields
from .request_body import BodyReader

_RECEIVE_BYTES = 65_536
_MS_PER_S = 1_000
# A body has to arrive at this many bytes in each ``read_ms`` at least.
PACE_BYTES = 16_384
# What an open connection takes: its tasks, buffers, and a small request.
CONNECTION_BYTES = 32_768
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
    wait for the client. ``is_partial`` is true while a request is incomplete, and
    ``is_evicted`` once ``memory`` needed the room of the connection for others.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        scope: trio.CancelScope,
        timer: CoarseTimer,
        limits: HttpLimits,
        drain: Drain,
        memory: MemoryAccount,
    ) -> None:
        self.is_partial = False
        self.is_evicted = False
        self._in_body = False
        self._unpaced_bytes = 0
        self._memory = memory
        self._holding = memory.open(Kind.CONNECTION, self.evict)
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
        is true. Raises ``BadRequestError`` for an invalid or truncated request, and
        ``NoMemoryError`` when the node has no room for it.
        """
        self._holding.evict = self.evict
        if not self._memory.resize(self._holding, CONNECTION_BYTES):
            raise NoMemoryError
        if not await self._wait_for_start():
            return None
        incoming = await self._read_whole()
        self._holding.evict = None
        # A time limit that has already expired would otherwise cancel the handler.
        if self._scope.cancel_called:
            await trio.lowlevel.checkpoint()
        self._timer.clear()
        # A drain that has started may have set a deadline.
        if self._scope.deadline != math.inf:
            self._scope.deadline = math.inf
        self.is_partial = False
        return incoming

    def close(self) -> None:
        """Release what the connection holds."""
        self._received.clear()
        self._memory.close(self._holding)

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
        self._in_body = False
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
            await self.receive_more()
        if end < 0 or end > self._limits.head_bytes:
            raise BadRequestError(
                431, f"send at most {self._limits.head_bytes} bytes of header fields"
            )
        return self._consume(end + len(HEAD_END))

    async def _read_body(self, length: int | None, connection: h11.Connection) -> bytes:
        if length == 0:
            return b""
        self._in_body = True
        reader = BodyReader(
            source=self,
            memory=self._memory,
            limit_bytes=self._limits.body_bytes,
            evict=self.evict,
        )
        if length is not None and length > self._limits.body_bytes:
            return await reader.read_length(length)
        if connection.they_are_waiting_for_100_continue and not self._received:
            await self._send_continue(connection)
        if length is None:
            return await reader.read_chunked(connection)
        return await reader.read_length(length)

    async def _send_continue(self, connection: h11.Connection) -> None:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        data = connection.send(interim)
        assert data is not None
        await self._stream.send_all(data)

    async def receive_more(self) -> None:
        """Receive further bytes of a request.

        Raises ``BadRequestError`` when the client has closed. The first byte starts
        the time limit; in a body, each ``PACE_BYTES`` start it again.
        """
        due = self._in_body and self._unpaced_bytes >= PACE_BYTES
        if due or not self.is_partial:
            # Set here only, as most requests arrive in one piece and need no timer.
            read_s = self._limits.read_ms / _MS_PER_S
            self._timer.set(trio.current_time() + read_s)
            self.is_partial = True
            self._unpaced_bytes = 0
        before = len(self._received)
        if not await self._receive():
            raise BadRequestError(400, "the connection closed inside a request")
        self._unpaced_bytes += len(self._received) - before
        self._memory.touch(self._holding)

    def take(self, max_bytes: int) -> bytes:
        """Remove and return bytes that were received, at most ``max_bytes``."""
        return self._consume(min(max_bytes, len(self._received)))

    def put_back(self, data: bytes) -> None:
        """Return bytes that belong to the next request."""
        self._received[:0] = data

    def evict(self) -> None:
        """End the connection, as the node needs its room for others."""
        self.is_evicted = True
        self._scope.cancel()

    def _consume(self, count: int) -> bytes:
        consumed = bytes(self._received[:count])
        del self._received[:count]
        return consumed
