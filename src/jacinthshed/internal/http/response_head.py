"""What a client reads from the head of a response."""

import re
from typing import NamedTuple

import h11

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

_IDLE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
_MS_PER_S = 1_000.0
_NO_BODY_STATUSES = (204, 304)


class ResponseHead(NamedTuple):
    """The head of a final response.

    ``body_length`` is ``None`` for a body that is chunked or ends with the connection.
    ``keeps_open`` tells whether the connection may carry another exchange, and
    ``idle_ms`` how long it stays open without one, where the server says so.
    """

    status: int
    headers: Headers
    body_length: int | None
    keeps_open: bool
    idle_ms: float | None = None


def read_response_head(request: Request, event: h11.Response) -> ResponseHead:
    """Return what ``event`` says in answer to ``request``."""
    fields = tuple(event.headers)
    length = header(fields, CONTENT_LENGTH)
    kept = without_hop_by_hop_fields(fields)
    idle_ms = _idle_ms(header(fields, KEEP_ALIVE))
    stays = event.http_version == b"1.1" and not asks_to_close(fields)
    if request.method == b"HEAD" or event.status_code in _NO_BODY_STATUSES:
        # Here the length is that of a body which is not sent.
        if request.method == b"HEAD" and length is not None:
            kept = (*kept, (CONTENT_LENGTH, length))
        return ResponseHead(event.status_code, kept, 0, stays, idle_ms)
    if header(fields, TRANSFER_ENCODING) is not None:
        return ResponseHead(event.status_code, kept, None, stays, idle_ms)
    if length is None:
        return ResponseHead(event.status_code, kept, None, False)
    return ResponseHead(event.status_code, kept, int(length), stays, idle_ms)


def _idle_ms(keep_alive: bytes | None) -> float | None:
    found = _IDLE_TIMEOUT.search(keep_alive) if keep_alive else None
    return int(found[1]) * _MS_PER_S if found else None
