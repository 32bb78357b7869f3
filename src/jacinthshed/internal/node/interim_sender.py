"""Interim responses to a caller, sent ahead of the answer."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple


class InterimSender(NamedTuple):
    """Sends interim responses to the caller of one request.

    ``send_fence`` sends the request's fence. ``send_keepalive`` shows that the request
    is still in progress; it is ``None`` if the caller did not request that.
    """

    send_fence: Callable[[str], Awaitable[None]]
    send_keepalive: Callable[[], Awaitable[None]] | None
