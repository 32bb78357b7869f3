"""One HTTP GET over a stream."""

from typing import NamedTuple

import h11
import trio

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 16_384


class HttpAnswer(NamedTuple):
    """The status and the whole body of an answer."""

    status: int
    body: bytes


class BodyTooLarge(Exception):
    """The answer's body exceeds the limit."""


async def http_get(
    stream: trio.abc.Stream, *, host: str, path: str, max_body_bytes: int
) -> HttpAnswer:
    """Return the answer to a GET of ``path``; ``stream`` is closed afterwards.

    Raises ``BodyTooLarge``, ``h11.ProtocolError`` for an answer that is no HTTP or is
    cut short, and the errors of the stream.
    """
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    async with stream:
        await stream.send_all(_request(connection, host, path))
        return await _receive_answer(stream, connection, max_body_bytes)


def _request(connection: h11.Connection, host: str, path: str) -> bytes:
    headers = [("Host", host), ("Connection", "close"), ("Accept", "application/json")]
    request = h11.Request(method="GET", target=path, headers=headers)
    head = connection.send(request) or b""
    return head + (connection.send(h11.EndOfMessage()) or b"")


async def _receive_answer(
    stream: trio.abc.Stream, connection: h11.Connection, max_body_bytes: int
) -> HttpAnswer:
    status = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            received = await stream.receive_some(RECEIVE_BYTES)
            connection.receive_data(bytes(received))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise BodyTooLarge(f"the body exceeds {max_body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return HttpAnswer(status, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection closed before an answer")
