"""The two clocks of a process."""

import time
from collections.abc import Callable
from typing import NamedTuple

import trio

MS_PER_S = 1_000.0


class Clock(NamedTuple):
    """Monotonic and wall-clock time, in milliseconds."""

    now_ms: Callable[[], float]
    wall_ms: Callable[[], int]


def trio_now_ms() -> float:
    """Return trio's monotonic time in milliseconds."""
    return trio.current_time() * MS_PER_S


def system_wall_ms() -> int:
    """Return the time since the epoch in milliseconds."""
    return time.time_ns() // 1_000_000


SYSTEM_CLOCK = Clock(now_ms=trio_now_ms, wall_ms=system_wall_ms)
