"""Requests a node's status over its peer address."""

from typing import Any

import msgspec
import trio
from returns.result import Failure, Result, Success

from ..http.network import Connect
from ..wire.codec import PROTOCOL_VERSION, FrameBuffer, FrameError, encode
from ..wire.frames import Hello, MemberRecord, StatusData, StatusRequest

RECEIVE_BYTES = 65_536
REQUEST_ID = "status"

# An empty host name marks a client that is not a member.
_NON_MEMBER = MemberRecord("", 0, "gone", 0, "", "", "", 0)


async def fetch_status(
    connect: Connect, address: str, *, timeout_ms: int
) -> Result[dict[str, Any], str]:
    """Return the status of the node whose peer listener is at ``address``.

    The failure holds a message for people: no connection, a reply that is not a valid
    frame, or no reply within ``timeout_ms``.
    """
    with trio.move_on_after(timeout_ms / 1_000):
        try:
            return await _exchange(await connect(address))
        except (OSError, trio.BrokenResourceError) as error:
            return Failure(f"no connection to {address}: {error}")
        except FrameError as error:
            return Failure(
                f"{address} is not a node's peer address (listen.peer): {error}"
            )
    return Failure(f"no answer from {address} within {timeout_ms} ms")


async def _exchange(stream: trio.abc.Stream) -> Result[dict[str, Any], str]:
    hello = Hello(PROTOCOL_VERSION, _NON_MEMBER, 0, b"")
    buffer = FrameBuffer()
    async with stream:
        await stream.send_all(encode(hello) + encode(StatusRequest(REQUEST_ID)))
        while data := await stream.receive_some(RECEIVE_BYTES):
            for frame in buffer.feed(data):
                if isinstance(frame, StatusData):
                    return _decode(frame.document)
    return Failure("the node closed the connection before it sent a status")


def _decode(document: bytes) -> Result[dict[str, Any], str]:
    try:
        return Success(msgspec.json.decode(document, type=dict[str, Any]))
    except msgspec.DecodeError as error:
        return Failure(f"the node sent a status that can't be read: {error}")
