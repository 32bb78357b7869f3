"""One reading of both clocks of a process."""

from typing import NamedTuple


class Instant(NamedTuple):
    """The same moment on the monotonic and on the wall clock, in milliseconds.

    Records are timed by ``now_ms``, which clock corrections don't affect. ``wall_ms``
    is compared only with times that another host's clock produced, as in a fence.
    """

    now_ms: float
    wall_ms: int
