"""Sends a message in pieces, and keeps what is left of it in the node's account."""

from collections.abc import Callable

import trio

from ..memory.account import Kind, MemoryAccount
from ..memory.body import HeldBody
from .network import send_now
from .request_body import HELD_FROM_BYTES

PIECE_BYTES = 65_536


async def send_message(
    stream: trio.abc.Stream,
    head: bytes,
    body: bytes,
    *,
    memory: MemoryAccount,
    evict: Callable[[], None],
    on_piece: Callable[[], None] = lambda: None,
) -> None:
    """Send ``head`` and ``body``.

    What the reader doesn't take at once may be given up with ``evict``. ``on_piece`` is
    called before each piece of a long message. Raises ``trio.BrokenResourceError`` when
    the reader has reset the connection.
    """
    if len(body) <= PIECE_BYTES:
        data = head + body
        on_piece()
        try:
            sent = send_now(stream, data)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error
        if sent == len(data):
            return
        await _send_rest(stream, memoryview(data)[sent:], memory, evict, on_piece)
        return
    on_piece()
    await stream.send_all(head)
    if isinstance(body, HeldBody):
        body.holding.kind = Kind.ANSWER
        body.holding.evict = evict
        await _send_pieces(stream, memoryview(body), body, memory, on_piece)
        return
    await _send_rest(stream, memoryview(body), memory, evict, on_piece)


async def _send_rest(
    stream: trio.abc.Stream,
    rest: memoryview,
    memory: MemoryAccount,
    evict: Callable[[], None],
    on_piece: Callable[[], None],
) -> None:
    if len(rest) <= HELD_FROM_BYTES:
        await stream.send_all(rest)
        return
    holding = memory.open(Kind.ANSWER, evict)
    try:
        # The bytes exist already: without room for them, the reader has to be fast.
        memory.resize(holding, len(rest))
        for start in range(0, len(rest), PIECE_BYTES):
            on_piece()
            await stream.send_all(rest[start : start + PIECE_BYTES])
            memory.resize(holding, max(0, len(rest) - start - PIECE_BYTES))
    finally:
        memory.close(holding)


async def _send_pieces(
    stream: trio.abc.Stream,
    view: memoryview,
    body: HeldBody,
    memory: MemoryAccount,
    on_piece: Callable[[], None],
) -> None:
    with view:
        for start in range(0, len(view), PIECE_BYTES):
            on_piece()
            await stream.send_all(view[start : start + PIECE_BYTES])
            memory.resize(body.holding, body.holding.size_bytes)
