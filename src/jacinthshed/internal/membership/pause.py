"""Notices that this process did not run for a while."""

from typing import NamedTuple

from ..bundle.model import MembershipPolicy


class Pause(NamedTuple):
    """A span in which the process did not run, in milliseconds."""

    length_ms: float


class PauseDetector:
    """Compares the time between two ticks with the time that was asked for.

    The monotonic clock of some machines stands still while they are suspended, so
    the wall clock is looked at as well. Only its jumps forward count.
    """

    def __init__(self, *, pause_after_ms: float) -> None:
        self._pause_after_ms = pause_after_ms
        self._mono_ms: float | None = None
        self._wall_ms = 0
        self.is_confirmed = True

    def set_policy(self, policy: MembershipPolicy) -> None:
        """Go by the times of ``policy`` from now on."""
        self._pause_after_ms = policy.pause_after_ms

    def tick(self, mono_ms: float, wall_ms: int) -> Pause | None:
        """Note that the process runs; return the pause that ended just now, if any.

        Call it at least every half ``pause_after_ms``, and before decisions that
        follow a wake-up.
        """
        if self._mono_ms is None:
            length_ms = 0.0
        else:
            length_ms = max(mono_ms - self._mono_ms, wall_ms - self._wall_ms)
        self._mono_ms = mono_ms
        self._wall_ms = wall_ms
        if length_ms < self._pause_after_ms:
            return None
        self.is_confirmed = False
        return Pause(length_ms)

    def confirm(self) -> None:
        """Note that a peer answered after the pause: the view may be used again."""
        self.is_confirmed = True
