"""A feed: a value that nodes read from outside, such as the policy or the targets."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns.result import Result

ApplyReading = Callable[[], None]
"""Applies what was read; takes no arguments."""


class Feed(NamedTuple):
    """How one key is read and watched for changes.

    ``read`` reads the current value. ``watch`` waits for a change, at most for the
    given number of milliseconds. Both return a function that applies the value. An
    outage doesn't raise: the result is a failure with an error whose text describes it.
    """

    key: str
    read: Callable[[], Awaitable[Result[ApplyReading, object]]]
    watch: Callable[[int], Awaitable[Result[ApplyReading, object]]]
