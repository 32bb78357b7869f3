"""Limits of one listener."""

from typing import NamedTuple


class HttpLimits(NamedTuple):
    """What a client may send, and how long it may take.

    ``idle_ms`` bounds the wait for the first byte of a request, ``read_ms`` the time
    from there to its last byte, ``write_ms`` the time to send a response.
    """

    head_bytes: int = 16_384
    body_bytes: int = 1_048_576
    idle_ms: int = 60_000
    read_ms: int = 10_000
    write_ms: int = 30_000
