"""Encodes the responses of a server."""

import h11

from .message import CONTENT_LENGTH, Header, Response
from .request_reader import IncomingRequest
from .write_head import response_head

_CONNECTION_CLOSE = (b"connection", b"close")
_NO_BODY_STATUSES = (204, 304)


def encode_response(
    incoming: IncomingRequest, response: Response, closes: bool
) -> tuple[bytes, bytes]:
    """Return the head and the body of ``response``.

    ``closes`` adds ``Connection: close``.

    Raises ``h11.LocalProtocolError`` when a header field is invalid.
    """
    headers = list(response.headers)
    if response.status in _NO_BODY_STATUSES or incoming.request.method == b"HEAD":
        body = b""
    else:
        body = response.body
        headers.append(_content_length_field(body))
    if incoming.keeps_open and not closes and body is response.body:
        return response_head(response.status, headers), body
    if closes:
        headers.append(_CONNECTION_CLOSE)
    event = h11.Response(status_code=response.status, headers=headers)
    # The body bypasses h11, which would only copy it.
    return incoming.connection.send(event) or b"", body


def encode_interim(incoming: IncomingRequest, interim: Response) -> bytes:
    """Return an interim response as bytes."""
    event = h11.InformationalResponse(
        status_code=interim.status, headers=list(interim.headers)
    )
    return incoming.connection.send(event) or b""


def encode_closing_response(response: Response) -> bytes:
    """Return ``response`` as bytes, for use without a parsed request.

    It announces that the server closes the connection afterwards.
    """
    headers = [
        *response.headers,
        _content_length_field(response.body),
        _CONNECTION_CLOSE,
    ]
    event = h11.Response(status_code=response.status, headers=headers)
    return (h11.Connection(h11.SERVER).send(event) or b"") + response.body


def _content_length_field(body: bytes) -> Header:
    return CONTENT_LENGTH, str(len(body)).encode()
