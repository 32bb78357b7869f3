"""Interprets the head of a response for a client."""

import re
from typing import NamedTuple

import h11

from .errors import BadResponseError
from .matching import STATUS_LINE
from .message import (
    CONTENT_LENGTH,
    KEEP_ALIVE,
    TRANSFER_ENCODING,
    Headers,
    Request,
    asks_to_close,
    header,
    without_hop_by_hop_fields,
)

# As in h11.
_EMPTY_LINE = re.compile(rb"\n\r?\n")
_IDLE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
_MS_PER_S = 1_000.0
_NO_BODY_STATUSES = (204, 304)


class ResponseHead(NamedTuple):
    """The head of a final response.

    ``body_length`` is in bytes, or ``None`` for a body that is chunked or ends with the
    connection. ``keeps_open`` is true when the connection can be reused. ``idle_ms`` is
    how long the server keeps it open when idle, or ``None`` when not announced.
    """

    status: int
    headers: Headers
    body_length: int | None
    keeps_open: bool
    idle_ms: float | None = None


def check_response_head(head: bytes) -> None:
    """Check that ``head``, up to its empty line, is that of one response.

    A server may send a part of an earlier response late, and the next response right
    after it. The two would be read as one response, with the status of the first.
    Raises ``BadResponseError``.
    """
    if STATUS_LINE.search(head, 1):
        raise BadResponseError("the response head contains another one")
    # h11 takes an empty line that ends with a bare LF for the end of the head.
    empty_line = _EMPTY_LINE.search(head)
    if empty_line is None or empty_line.end() != len(head):
        raise BadResponseError("the response head contains an empty line")


def read_response_head(request: Request, event: h11.Response) -> ResponseHead:
    """Return the head of the response ``event`` to ``request``."""
    fields = tuple(event.headers)
    length = header(fields, CONTENT_LENGTH)
    end_to_end = without_hop_by_hop_fields(fields)
    idle_ms = _idle_ms(header(fields, KEEP_ALIVE))
    keeps_open = event.http_version == b"1.1" and not asks_to_close(fields)
    if request.method == b"HEAD" or event.status_code in _NO_BODY_STATUSES:
        # Content-Length then describes a body that is not sent.
        if request.method == b"HEAD" and length is not None:
            end_to_end = (*end_to_end, (CONTENT_LENGTH, length))
        return ResponseHead(event.status_code, end_to_end, 0, keeps_open, idle_ms)
    if header(fields, TRANSFER_ENCODING) is not None:
        return ResponseHead(event.status_code, end_to_end, None, keeps_open, idle_ms)
    if length is None:
        return ResponseHead(event.status_code, end_to_end, None, False)
    return ResponseHead(event.status_code, end_to_end, int(length), keeps_open, idle_ms)


def _idle_ms(keep_alive: bytes | None) -> float | None:
    match = _IDLE_TIMEOUT.search(keep_alive) if keep_alive else None
    return int(match[1]) * _MS_PER_S if match else None
