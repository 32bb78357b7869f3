"""Detection of pauses in which this process did not run."""

from typing import NamedTuple

from ..bundle.model import MembershipPolicy


class Pause(NamedTuple):
    """A pause in which the process did not run, with its length in milliseconds."""

    length_ms: float


class PauseDetector:
    """Detects a pause from the time between two ticks.

    The monotonic clock of some machines stops while they are suspended, so the wall
    clock is checked as well. Only its jumps forward count.

    ``is_confirmed`` is false from a pause until a peer has answered.
    """

    def __init__(self, *, pause_after_ms: float) -> None:
        self._pause_after_ms = pause_after_ms
        self._last_mono_ms: float | None = None
        self._last_wall_ms = 0
        self.is_confirmed = True

    def set_policy(self, policy: MembershipPolicy) -> None:
        """Use the ``pause_after_ms`` of ``policy`` from now on."""
        self._pause_after_ms = policy.pause_after_ms

    def tick(self, mono_ms: float, wall_ms: int) -> Pause | None:
        """Record that the process runs; return the pause that just ended, if any.

        Call it at intervals of at most half of ``pause_after_ms``, and before decisions
        that are made right after the process resumes.
        """
        if self._last_mono_ms is None:
            length_ms = 0.0
        else:
            length_ms = max(mono_ms - self._last_mono_ms, wall_ms - self._last_wall_ms)
        self._last_mono_ms = mono_ms
        self._last_wall_ms = wall_ms
        if length_ms < self._pause_after_ms:
            return None
        self.is_confirmed = False
        return Pause(length_ms)

    def confirm(self) -> None:
        """Record that a peer answered after the pause; the view may be used again."""
        self.is_confirmed = True
