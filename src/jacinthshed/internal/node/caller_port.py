"""What a call's flow tells its caller ahead of the answer."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple


class CallerPort(NamedTuple):
    """Ways to the caller of one request.

    ``announce`` tells the fence. ``alive`` shows that the connection and the request
    still live; it is ``None`` when the caller did not ask for that.
    """

    announce: Callable[[str], Awaitable[None]]
    alive: Callable[[], Awaitable[None]] | None
