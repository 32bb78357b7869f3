"""HTTP messages, independent of the framing of any connection."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

HOST = b"host"
CONTENT_LENGTH = b"content-length"
CONNECTION = b"connection"
KEEP_ALIVE = b"keep-alive"
TRANSFER_ENCODING = b"transfer-encoding"
PROBLEM_JSON = b"application/problem+json"

# Fields that apply to one connection only. The length fields are included because a
# message holds its complete body, and each connection generates its own framing.
_HOP_BY_HOP_FIELDS = frozenset(
    (
        CONNECTION,
        CONTENT_LENGTH,
        b"expect",
        KEEP_ALIVE,
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
    )
)


class Request(NamedTuple):
    """A complete request.

    The names in ``headers`` are lower-case; hop-by-hop fields are removed.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Response(NamedTuple):
    """A complete response, or an interim response when ``status`` is below 200."""

    status: int
    headers: Headers = ()
    body: bytes = b""


# Called with each interim response before the final one.
InterimHandler = Callable[[Response], Awaitable[None]]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of field ``name`` (lower-case), or ``None``."""
    for field, value in headers:
        if field == name:
            return value
    return None


def asks_to_close(headers: Headers) -> bool:
    """Return whether a ``Connection`` field contains ``close``."""
    return any(
        name == CONNECTION and b"close" in value.lower() for name, value in headers
    )


def without_hop_by_hop_fields(headers: Headers) -> Headers:
    """Return ``headers`` without the fields that apply to one connection only.

    These are a fixed set and the fields that a ``Connection`` field names.
    """
    remaining = tuple(
        [field for field in headers if field[0] not in _HOP_BY_HOP_FIELDS]
    )
    if len(remaining) == len(headers):
        return remaining
    named = _fields_named_by_connection(headers)
    if not named:
        return remaining
    return tuple(field for field in remaining if field[0] not in named)


def _fields_named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == CONNECTION
        for token in value.split(b",")
    )
