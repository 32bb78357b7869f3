"""Bytes of a server's responses."""

import h11

from .message import CONTENT_LENGTH, Header, Response
from .request_reader import IncomingRequest
from .write_head import response_head

_CONNECTION_CLOSE = (b"connection", b"close")
_NO_BODY_STATUSES = (204, 304)


def encode_response(incoming: IncomingRequest, response: Response, last: bool) -> bytes:
    """Return ``response`` as bytes; ``last`` announces that the connection closes.

    Raises ``h11.LocalProtocolError`` when its fields can't be written.
    """
    headers = list(response.headers)
    if response.status in _NO_BODY_STATUSES or incoming.request.method == b"HEAD":
        body = b""
    else:
        body = response.body
        headers.append(_length(body))
    if incoming.keeps_open and not last and body is response.body:
        return response_head(response.status, headers) + body
    if last:
        headers.append(_CONNECTION_CLOSE)
    event = h11.Response(status_code=response.status, headers=headers)
    # The body goes round the library, which would only copy it.
    return (incoming.connection.send(event) or b"") + body


def encode_interim(incoming: IncomingRequest, interim: Response) -> bytes:
    """Return an interim response as bytes."""
    event = h11.InformationalResponse(
        status_code=interim.status, headers=list(interim.headers)
    )
    return incoming.connection.send(event) or b""


def encode_last(response: Response) -> bytes:
    """Return a response that isn't to a request, and after which the server closes."""
    headers = [*response.headers, _length(response.body), _CONNECTION_CLOSE]
    event = h11.Response(status_code=response.status, headers=headers)
    return (h11.Connection(h11.SERVER).send(event) or b"") + response.body


def _length(body: bytes) -> Header:
    return CONTENT_LENGTH, str(len(body)).encode()
