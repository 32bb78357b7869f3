"""One thing that nodes read from outside: the policy, or the targets."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns.result import Result

ApplyReading = Callable[[], None]
"""Takes in what was read."""


class Feed(NamedTuple):
    """How one key is read, and how its changes are waited for.

    ``read`` reads what is there now. ``watch`` waits for a change, at most for the
    milliseconds that it is given. Neither raises for an outage; a failure holds an
    error whose text says what is wrong.
    """

    key: str
    read: Callable[[], Awaitable[Result[ApplyReading, object]]]
    watch: Callable[[int], Awaitable[Result[ApplyReading, object]]]
