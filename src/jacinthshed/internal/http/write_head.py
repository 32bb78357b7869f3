"""Encodes the heads of messages whose fields were already checked by h11.

h11 validates each field again when it writes a head, which costs as much as parsing
one. The messages that a node forwards were validated when they were received.
"""

import h11

from .message import HOST, Header


def request_head(method: bytes, target: bytes, headers: list[Header]) -> bytes:
    """Return the head of a request, with its ``Host`` field first.

    Raises ``h11.LocalProtocolError`` when a part contains CR, LF or NUL.
    """
    ordered = sorted(headers, key=_is_not_host)
    return _encode_head(b"%s %s HTTP/1.1\r\n" % (method, target), ordered)


def response_head(status: int, headers: list[Header]) -> bytes:
    """Return the head of a final response.

    Raises ``h11.LocalProtocolError`` when a field contains CR, LF or NUL.
    """
    return _encode_head(b"HTTP/1.1 %d \r\n" % status, headers)


def _is_not_host(field: Header) -> bool:
    return field[0] != HOST


def _encode_head(first_line: bytes, headers: list[Header]) -> bytes:
    head = first_line + b"".join([b"%s: %s\r\n" % field for field in headers]) + b"\r\n"
    line_count = len(headers) + 2
    if (
        head.count(b"\n") != line_count
        or head.count(b"\r") != line_count
        or b"\0" in head
    ):
        raise h11.LocalProtocolError(
            "the request target or a header field contains CR, LF or NUL"
        )
    return head
