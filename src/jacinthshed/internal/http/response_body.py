"""Reads the bodies of responses into memory that is charged to the node's account."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import trio

from ..memory.account import SMALL_BYTES, Holding, Kind, MemoryAccount
from ..memory.body import HeldBody, held_body
from .errors import BadResponseError
from .request_body import HELD_FROM_BYTES

NextEvent = Callable[[h11.Connection], object]


class ByteSource(Protocol):
    """The bytes that a server sends after the head of its response."""

    def take(self, max_bytes: int) -> bytes:
        """Remove and return bytes that were received, at most ``max_bytes``."""

    async def receive_more(self) -> None:
        """Receive further bytes; raise ``BadResponseError`` at the end."""


async def read_fixed_length(
    source: ByteSource, length: int, max_body_bytes: int, memory: MemoryAccount
) -> bytes:
    """Return a body of ``length`` bytes; a long one waits until there is room.

    Raises ``BadResponseError`` if it exceeds ``max_body_bytes``.
    """
    if length > min(max_body_bytes, memory.largest_bytes):
        raise _too_long(max_body_bytes)
    if length > HELD_FROM_BYTES:
        return await _read_held(source, length, memory)
    body = source.take(length)
    while len(body) < length:
        await source.receive_more()
        body += source.take(length - len(body))
    return body


async def _read_held(
    source: ByteSource, length: int, memory: MemoryAccount
) -> HeldBody:
    holding = memory.open(Kind.ANSWER)
    await _wait_for_room(memory, holding, length)
    body = held_body(memory, holding, length)
    while True:
        body.fill(source.take(length - body.filled))
        if body.is_full:
            return body
        await source.receive_more()


async def read_until_end(
    protocol: h11.Connection,
    next_event: NextEvent,
    receive: Callable[[], Awaitable[bytes]],
    max_body_bytes: int,
    memory: MemoryAccount,
) -> bytes:
    """Return a body that is chunked or ends when the connection closes.

    Its length is not known before its end, so a long one waits for the most that it may
    take. Raises ``BadResponseError`` if it is incomplete or too long.
    """
    body = bytearray()
    while True:
        event = next_event(protocol)
        if type(event) is h11.EndOfMessage:
            if not isinstance(body, HeldBody):
                return bytes(body)
            memory.resize(body.holding, len(body))
            return body
        if type(event) is h11.Data:
            body += event.data
        elif event is h11.NEED_DATA:
            protocol.receive_data(await receive())
        else:
            raise BadResponseError("the response body is incomplete")
        if len(body) > max_body_bytes:
            raise _too_long(max_body_bytes)
        if len(body) > SMALL_BYTES and not isinstance(body, HeldBody):
            room_bytes = min(max_body_bytes, memory.largest_bytes)
            await _wait_for_room(
                memory, holding := memory.open(Kind.ANSWER), room_bytes
            )
            held = held_body(memory, holding)
            held += body
            body = held


async def _wait_for_room(
    memory: MemoryAccount, holding: Holding, size_bytes: int
) -> None:
    granted = trio.Event()
    memory.resize_later(holding, size_bytes, granted.set)
    try:
        if not granted.is_set():
            await granted.wait()
    except trio.Cancelled:
        memory.close(holding)
        raise


def _too_long(max_body_bytes: int) -> BadResponseError:
    return BadResponseError(f"the response body exceeds {max_body_bytes} bytes")
