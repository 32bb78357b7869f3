"""Tells a silent link from an idle one."""

from ..bundle.model import MembershipPolicy

# An idle link carries nothing that could get lost. Its heartbeats only keep the state
# of middleboxes alive, so they are this many times rarer.
IDLE_FACTOR = 60


class LinkHealth:
    """What is known about one link's other end.

    ``outstanding`` counts requests that were sent and not answered yet.
    """

    def __init__(self, *, now_ms: float, policy: MembershipPolicy) -> None:
        self._policy = policy
        self._heard_ms = now_ms
        self._asked_ms: float | None = None
        self._heartbeat_ms = now_ms
        self.outstanding = 0

    def request_sent(self, now_ms: float) -> None:
        """Note that a request was sent, to which the peer owes an answer."""
        self.outstanding += 1
        self._ask(now_ms)

    def request_ended(self) -> None:
        """Note that a request was answered or given up."""
        self.outstanding = max(0, self.outstanding - 1)

    def heartbeat_sent(self, now_ms: float) -> None:
        """Note that a heartbeat was sent that asks for an echo."""
        self._heartbeat_ms = now_ms
        self._ask(now_ms)

    def frame_received(self, now_ms: float) -> None:
        """Note that a frame came in, of whatever kind."""
        self._heard_ms = now_ms
        self._asked_ms = now_ms if self.outstanding else None

    def is_heartbeat_due(self, now_ms: float) -> bool:
        """Return whether a heartbeat should be sent now.

        Any frame from the peer shows that the link works, so a busy link needs none.
        """
        if self._asked_ms is None:
            idle_ms = now_ms - max(self._heard_ms, self._heartbeat_ms)
            return idle_ms >= IDLE_FACTOR * self._policy.heartbeat_ms
        waiting_ms = now_ms - max(self._asked_ms, self._heartbeat_ms)
        return waiting_ms >= self._policy.heartbeat_ms

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the peer owes a frame for longer than it may take."""
        if self._asked_ms is None:
            return False
        return now_ms - self._asked_ms >= self._policy.silent_after_ms

    def _ask(self, now_ms: float) -> None:
        if self._asked_ms is None:
            self._asked_ms = now_ms
