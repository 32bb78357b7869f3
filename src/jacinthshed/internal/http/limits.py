"""Limits on the requests and connections of one listener."""

from typing import NamedTuple


class HttpLimits(NamedTuple):
    """Size limits in bytes and time limits in milliseconds for clients.

    ``head_bytes`` and ``body_bytes`` bound a request. ``idle_ms`` bounds the wait for
    the first byte of a request, ``read_ms`` the time from the first to the last byte,
    and ``write_ms`` the time to send a response.
    """

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    idle_ms: int = 60_000
    read_ms: int = 10_000
    write_ms: int = 30_000
