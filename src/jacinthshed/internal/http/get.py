"""One HTTP GET over a stream."""

from typing import NamedTuple

import h11
import trio

from .message import Headers

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 16_384
MAX_INTERIM_RESPONSES = 16


class HttpResponse(NamedTuple):
    """The status, the complete body and the header fields of a response."""

    status: int
    body: bytes
    headers: Headers = ()


class BodyTooLargeError(Exception):
    """The body of the response exceeds the limit."""


async def http_get(
    stream: trio.abc.Stream, *, host: str, path: str, max_body_bytes: int
) -> HttpResponse:
    """Send a GET of ``path`` and return the response; ``stream`` is then closed.

    ``host`` is the value of the ``Host`` field. Raises ``BodyTooLargeError`` when the
    body exceeds ``max_body_bytes``, ``h11.ProtocolError`` when the response is not
    HTTP or is truncated, and the errors of ``stream``.
    """
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    async with stream:
        await stream.send_all(_request(connection, host, path))
        return await _receive_response(stream, connection, max_body_bytes)


def _request(connection: h11.Connection, host: str, path: str) -> bytes:
    headers = [("Host", host), ("Connection", "close"), ("Accept", "application/json")]
    request = h11.Request(method="GET", target=path, headers=headers)
    head = connection.send(request) or b""
    return head + (connection.send(h11.EndOfMessage()) or b"")


async def _receive_response(
    stream: trio.abc.Stream, connection: h11.Connection, max_body_bytes: int
) -> HttpResponse:
    status = 0
    headers: Headers = ()
    interim_responses = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            received = await stream.receive_some(RECEIVE_BYTES)
            connection.receive_data(bytes(received))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = tuple(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise BodyTooLargeError(f"the body exceeds {max_body_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, bytes(body), headers)
        elif isinstance(event, h11.InformationalResponse):
            interim_responses += 1
            if interim_responses > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError(
                    f"more than {MAX_INTERIM_RESPONSES} interim responses"
                )
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError(
                "the server closed the connection before the end of the response"
            )
