"""HTTP messages as they travel through a node, free of any connection's framing."""

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

# Fields that concern one connection only. Length fields are among them because a
# message carries its whole body, so that each connection frames it afresh.
_CONNECTION_FIELDS = frozenset(
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
    """A whole request.

    Names in ``headers`` are lower-case; fields of the connection are removed.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Response(NamedTuple):
    """A whole response, or an interim one when ``status`` is below 200."""

    status: int
    headers: Headers = ()
    body: bytes = b""


# Takes an interim response, to be passed on before the final one.
InterimHandler = Callable[[Response], Awaitable[None]]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the field with the lower-case ``name``."""
    for field, value in headers:
        if field == name:
            return value
    return None


def asks_to_close(headers: Headers) -> bool:
    """Return whether a message says that its connection closes after it."""
    return any(
        name == CONNECTION and b"close" in value.lower() for name, value in headers
    )


def without_hop_by_hop_fields(headers: Headers) -> Headers:
    """Return ``headers`` less those that concern one connection only.

    These are the fixed ones and those that a ``Connection`` field names.
    """
    kept = tuple([field for field in headers if field[0] not in _CONNECTION_FIELDS])
    if len(kept) == len(headers):
        return kept
    named = _named_by_connection(headers)
    if not named:
        return kept
    return tuple(field for field in kept if field[0] not in named)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == CONNECTION
        for token in value.split(b",")
    )
