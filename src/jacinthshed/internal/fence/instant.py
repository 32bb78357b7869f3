"""One reading of a process's two clocks."""

from typing import NamedTuple


class Instant(NamedTuple):
    """The same moment on the monotonic and on the wall clock, in milliseconds.

    Records are kept by ``now_ms``, which no clock correction moves. Only what another
    host's clock wrote, the times inside a fence, is compared with ``wall_ms``.
    """

    now_ms: float
    wall_ms: int
