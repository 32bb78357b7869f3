"""Reads the bodies of requests into memory that is charged to the node's account."""

from collections.abc import Callable
from typing import Protocol

import h11
import trio

from ..memory.account import Kind, MemoryAccount
from ..memory.body import HeldBody, held_body
from .errors import BadRequestError, NoMemoryError
from .head import HEAD_END

# Smaller bodies are covered by what is charged for their connection.
HELD_FROM_BYTES = 16_384
# Chunk headers may take as much again as the body, and this much more.
_OVERHEAD_BYTES = 65_536
# Parsing tiny chunks takes long, so other tasks run after as many.
_CHUNKS_IN_A_ROW = 200


class ByteSource(Protocol):
    """The bytes that a client sends after the head of its request."""

    def take(self, max_bytes: int) -> bytes:
        """Remove and return bytes that were received, at most ``max_bytes``."""

    async def receive_more(self) -> None:
        """Receive further bytes; raise ``BadRequestError`` at the end."""

    def put_back(self, data: bytes) -> None:
        """Return bytes that do not belong to the body."""


class BodyReader:
    """Reads one body of at most ``limit_bytes`` from ``source``.

    ``evict`` ends the reading while the account needs its room for others.
    """

    def __init__(
        self,
        *,
        source: ByteSource,
        memory: MemoryAccount,
        limit_bytes: int,
        evict: Callable[[], None],
    ) -> None:
        self._source = source
        self._memory = memory
        self._limit_bytes = limit_bytes
        self._evict = evict
        self._body = bytearray()

    async def read_length(self, length: int) -> bytes:
        """Return a body of ``length`` bytes.

        Raises ``BadRequestError`` if that exceeds the limit, and ``NoMemoryError``.
        """
        if length > self._limit_bytes:
            raise self._too_large()
        while True:
            self._append(self._source.take(length - len(self._body)))
            if len(self._body) == length:
                return self._finish()
            await self._source.receive_more()

    async def read_chunked(self, connection: h11.Connection) -> bytes:
        """Return a chunked body; ``connection`` has parsed the head before it.

        Raises ``BadRequestError`` if it is invalid or too large, and ``NoMemoryError``.
        """
        received = 0
        tail = b""
        while True:
            data = self._source.take(_OVERHEAD_BYTES)
            if data:
                connection.receive_data(data)
            received += len(data)
            tail = tail[-len(HEAD_END) :] + data
            if received > self._limit_bytes * 2 + _OVERHEAD_BYTES:
                raise self._too_large()
            if await self._append_chunks(connection):
                break
            await self._source.receive_more()
        rest = bytes(connection.trailing_data[0])
        self._source.put_back(rest)
        # h11 accepts a bare LF as the empty line after the last chunk.
        if not tail.endswith(HEAD_END, 0, len(tail) - len(rest)):
            raise BadRequestError(400, "end the last chunk with CR LF")
        return self._finish()

    async def _append_chunks(self, connection: h11.Connection) -> bool:
        """Append the chunks received; return whether the body is complete."""
        count = 0
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
            self._append(event.data)
            if len(self._body) > self._limit_bytes:
                raise self._too_large()
            count += 1
            if count % _CHUNKS_IN_A_ROW == 0:
                await trio.lowlevel.checkpoint()

    def _append(self, data: bytes) -> None:
        size_bytes = len(self._body) + len(data)
        if size_bytes > HELD_FROM_BYTES:
            self._charge(size_bytes)
        self._body += data

    def _charge(self, size_bytes: int) -> None:
        if not isinstance(self._body, HeldBody):
            holding = self._memory.open(Kind.REQUEST, self._evict)
            body = held_body(self._memory, holding)
            body += self._body
            self._body = body
        if not self._memory.resize(self._body.holding, size_bytes):
            raise NoMemoryError

    def _finish(self) -> bytes:
        body = self._body
        if isinstance(body, HeldBody):
            # From now on the request may run, and is answered.
            body.holding.evict = None
            return body
        return bytes(body)

    def _too_large(self) -> BadRequestError:
        return BadRequestError(413, f"send a body of at most {self._limit_bytes} bytes")
