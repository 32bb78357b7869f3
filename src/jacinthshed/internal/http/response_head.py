"""What a client reads from the head of a response."""

from typing import NamedTuple

import h11

from .message import (
    CONNECTION,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Headers,
    Request,
    header,
    without_connection_fields,
)

_NO_BODY_STATUSES = (204, 304)


class ResponseHead(NamedTuple):
    """The head of a final response.

    ``body_length`` is ``None`` for a body that is chunked or ends with the connection.
    ``keeps_open`` tells whether the connection may carry another exchange.
    """

    status: int
    headers: Headers
    body_length: int | None
    keeps_open: bool


def read_response_head(request: Request, event: h11.Response) -> ResponseHead:
    """Return what ``event`` says in answer to ``request``."""
    fields = tuple(event.headers)
    length = header(fields, CONTENT_LENGTH)
    kept = without_connection_fields(fields)
    stays = event.http_version == b"1.1" and not _asks_to_close(fields)
    if request.method == b"HEAD" or event.status_code in _NO_BODY_STATUSES:
        # Here the length is that of a body which is not sent.
        if request.method == b"HEAD" and length is not None:
            kept = (*kept, (CONTENT_LENGTH, length))
        return ResponseHead(event.status_code, kept, 0, stays)
    if header(fields, TRANSFER_ENCODING) is not None:
        return ResponseHead(event.status_code, kept, None, stays)
    if length is None:
        return ResponseHead(event.status_code, kept, None, False)
    return ResponseHead(event.status_code, kept, int(length), stays)


def _asks_to_close(fields: Headers) -> bool:
    return b"close" in (header(fields, CONNECTION) or b"").lower()
