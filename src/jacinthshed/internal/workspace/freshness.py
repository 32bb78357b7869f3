"""How long ago a node knew that its policy was the newest.

Load pattern: a key is withdrawn while some nodes reach neither the platform nor the
nodes that read it. They go on with the policy that they have, in which the key is
valid. Each node therefore keeps the age of what it knows, and not a time of day, since
clocks of hosts differ and jump.
"""

from collections.abc import Callable
from math import inf

from ..bundle.order import BundleOrder

# Added to an age for the way of a message. It is far above the usual delay, so that an
# answer never seems newer than it is.
HOP_DELAY_MS = 50.0
# An answer to a watch with changes may have been on its way for as long.
ANSWER_DELAY_MS = 500.0
# Others are told when they may learn of an answer that is newer by this much.
NEWS_MS = 700.0


class Freshness:
    """The latest moment at which the policy in force was known to be the newest.

    Times are monotonic milliseconds of this host, as ``now_ms`` returns them. Peers are
    told only while ``is_wanted``, which is while the policy bounds the age.
    """

    def __init__(self, *, now_ms: Callable[[], float]) -> None:
        self.is_wanted = False
        self._now_ms = now_ms
        self._known_ms = -inf
        self._told_ms = -inf

    def age_ms(self) -> float:
        """Return the age of what is known; infinite without any knowledge."""
        return self._now_ms() - self._known_ms

    def reported_age_ms(self) -> int:
        """Return the age to tell peers, or -1 for none."""
        if not self.is_wanted or self._known_ms == -inf:
            return -1
        return max(0, int(self.age_ms()))

    def confirmed(self, at_ms: float) -> None:
        """Record that the policy in force was the newest at ``at_ms``."""
        self._known_ms = max(self._known_ms, at_ms)

    def peer_reported(
        self, own: BundleOrder, reported: BundleOrder, age_ms: float
    ) -> None:
        """Record a peer's message that ``reported`` was the newest ``age_ms`` ago.

        It says nothing while this node has an older policy, nor with a negative age.
        """
        if age_ms >= 0 and own >= reported:
            self.confirmed(self._now_ms() - age_ms - HOP_DELAY_MS)

    def forget(self) -> None:
        """Forget what is known, after a pause that the clock may not have counted."""
        self._known_ms = self._told_ms = -inf

    def has_news(self) -> bool:
        """Return whether peers that were told before would learn something."""
        return self.is_wanted and self._known_ms - self._told_ms >= NEWS_MS

    def told(self) -> None:
        """Record that peers were told what is known."""
        self._told_ms = self._known_ms


def known_at_ms(
    *, called_ms: float, answered_ms: float, watch_ms: float, is_watch: bool
) -> float:
    """Return the latest time at which an answer certainly showed the newest policy.

    The answer to a watch is given when its wait is over, or at a change before that. It
    may come late, and a reading may be as old as its call.
    """
    if not is_watch:
        return called_ms
    if answered_ms >= called_ms + watch_ms:
        return called_ms + watch_ms
    return max(called_ms, answered_ms - ANSWER_DELAY_MS)
