"""Heads of messages whose fields were checked when they were read.

The library checks every field again when it writes a head, which costs as much as
reading one. What a node passes on was checked by the library at the other side.
"""

import h11

from .message import HOST, Header


def request_head(method: bytes, target: bytes, headers: list[Header]) -> bytes:
    """Return the head of a request, with its ``Host`` field first.

    Raises ``h11.LocalProtocolError`` when a part holds the end of a line.
    """
    ordered = sorted(headers, key=_is_not_host)
    return _head(b"%s %s HTTP/1.1\r\n" % (method, target), ordered)


def response_head(status: int, headers: list[Header]) -> bytes:
    """Return the head of a final response.

    Raises ``h11.LocalProtocolError`` when a field holds the end of a line.
    """
    return _head(b"HTTP/1.1 %d \r\n" % status, headers)


def _is_not_host(field: Header) -> bool:
    return field[0] != HOST


def _head(first_line: bytes, headers: list[Header]) -> bytes:
    head = first_line + b"".join([b"%s: %s\r\n" % field for field in headers]) + b"\r\n"
    lines = len(headers) + 2
    if head.count(b"\n") != lines or head.count(b"\r") != lines or b"\0" in head:
        raise h11.LocalProtocolError("a field holds the end of a line")
    return head
