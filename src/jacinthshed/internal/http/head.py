"""Strict checks of a request's head, in addition to those of h11.

Each rule prevents request smuggling: two HTTP parsers in a chain must not disagree on
where a message ends, as a second request could then be hidden in the first.
"""

from typing import NamedTuple

import h11

from .errors import BadRequestError
from .message import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Headers,
    asks_to_close,
    header,
)

HEAD_END = b"\r\n\r\n"

_CONTENT_LENGTH_LINE = b"\ncontent-length:"
_MAX_LENGTH_DIGITS = 15
_VERSIONS = (b"1.0", b"1.1")


def check_start(received: bytearray) -> None:
    """Check the received bytes that begin a request, before its head is complete.

    Raises ``BadRequestError`` when no further bytes could make the head valid.
    """
    if received and received[0] <= 0x20:
        raise BadRequestError(400, "start the connection with a request line")
    line_feed = received.find(b"\n")
    if line_feed > 0 and received[line_feed - 1] != 0x0D:
        raise BadRequestError(400, "end each line of the head with CR LF")


class Head(NamedTuple):
    """The parsed head of a request.

    ``body_length`` is in bytes, or ``None`` for a chunked body. ``keeps_open`` is true
    when the client may send another request on the connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body_length: int | None
    keeps_open: bool


def parse_head(head: bytes, connection: h11.Connection) -> Head:
    """Parse the complete ``head``, which ends with an empty line.

    ``connection`` is a fresh h11 connection that receives the head. Raises
    ``BadRequestError`` with status 400 when the head is invalid.
    """
    _check_line_endings(head)
    _check_content_length(head)
    connection.receive_data(head)
    try:
        request = connection.next_event()
    except h11.RemoteProtocolError as error:
        raise BadRequestError(400, str(error)) from error
    if type(request) is not h11.Request:
        raise BadRequestError(400, "send a request line and header fields")
    headers = tuple(request.headers)
    _check_request_line(request)
    return Head(
        method=request.method,
        target=request.target,
        headers=headers,
        body_length=_body_length(request, headers),
        keeps_open=request.http_version == b"1.1" and not asks_to_close(headers),
    )


def _check_line_endings(head: bytes) -> None:
    line_ends = head.count(b"\r\n")
    if head.count(b"\n") != line_ends or head.count(b"\r") != line_ends:
        raise BadRequestError(400, "end each line of the head with CR LF")
    if b"\n " in head or b"\n\t" in head:
        raise BadRequestError(400, "write each header field on one line")


def _check_content_length(head: bytes) -> None:
    lowered_head = head.lower()
    start = lowered_head.find(_CONTENT_LENGTH_LINE)
    if start < 0:
        return
    start += len(_CONTENT_LENGTH_LINE)
    if lowered_head.find(_CONTENT_LENGTH_LINE, start) >= 0:
        raise BadRequestError(400, "send one Content-Length field")
    value = head[start : head.index(b"\r", start)].strip(b" \t")
    if not value.isdigit() or len(value) > _MAX_LENGTH_DIGITS:
        raise BadRequestError(400, "send Content-Length as one decimal number")


def _check_request_line(request: h11.Request) -> None:
    if request.http_version not in _VERSIONS:
        raise BadRequestError(400, "use HTTP/1.1")
    target = request.target
    if not target.startswith(b"/") or b"#" in target:
        raise BadRequestError(400, "write the request target as an absolute path")


def _body_length(request: h11.Request, headers: Headers) -> int | None:
    length = header(headers, CONTENT_LENGTH)
    if header(headers, TRANSFER_ENCODING) is None:
        return int(length or 0)
    if length is not None:
        raise BadRequestError(400, "send Content-Length or Transfer-Encoding, not both")
    if request.http_version != b"1.1":
        raise BadRequestError(400, "send Transfer-Encoding with HTTP/1.1 only")
    return None
