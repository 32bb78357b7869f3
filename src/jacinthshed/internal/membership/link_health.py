"""Health of a link: distinguishes a silent link from an idle one."""

from ..bundle.model import MembershipPolicy

# On an idle link no request can get lost. Where it carries no gossip either, heartbeats
# only keep the connection state of middleboxes alive, so their interval is this many
# times longer.
IDLE_HEARTBEAT_FACTOR = 60


class LinkHealth:
    """The health of one link, derived from sent and received frames.

    ``outstanding`` is the number of requests that were sent and not answered yet.
    """

    def __init__(self, *, now_ms: float, policy: MembershipPolicy) -> None:
        self._policy = policy
        self._last_frame_ms = now_ms
        self._waiting_since_ms: float | None = None
        self._last_heartbeat_ms = now_ms
        self.outstanding = 0

    def request_sent(self, now_ms: float) -> None:
        """Record that a request was sent, which the peer has to answer."""
        self.outstanding += 1
        self._start_waiting(now_ms)

    def request_ended(self) -> None:
        """Record that a request was answered or abandoned."""
        self.outstanding = max(0, self.outstanding - 1)

    def heartbeat_sent(self, now_ms: float) -> None:
        """Record that a heartbeat was sent that requests an echo."""
        self._last_heartbeat_ms = now_ms
        self._start_waiting(now_ms)

    def frame_received(self, now_ms: float) -> None:
        """Record that a frame of any type was received."""
        self._last_frame_ms = now_ms
        self._waiting_since_ms = now_ms if self.outstanding else None

    def is_heartbeat_due(self, now_ms: float, *, carries_gossip: bool = False) -> bool:
        """Return whether a heartbeat should be sent now.

        Any frame from the peer shows that the link works, so a busy link needs no
        heartbeats.
        """
        if self._waiting_since_ms is None:
            idle_ms = now_ms - max(self._last_frame_ms, self._last_heartbeat_ms)
            factor = 1 if carries_gossip else IDLE_HEARTBEAT_FACTOR
            return idle_ms >= factor * self._policy.heartbeat_ms
        waiting_ms = now_ms - max(self._waiting_since_ms, self._last_heartbeat_ms)
        return waiting_ms >= self._policy.heartbeat_ms

    def is_silent(self, now_ms: float) -> bool:
        """Return whether a frame has been awaited for ``silent_after_ms`` or longer."""
        if self._waiting_since_ms is None:
            return False
        return now_ms - self._waiting_since_ms >= self._policy.silent_after_ms

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether the peer has sent a frame within ``silent_after_ms``."""
        return self.silent_ms(now_ms) < self._policy.silent_after_ms

    def silent_ms(self, now_ms: float) -> float:
        """Return the time since the last frame of the peer."""
        return now_ms - self._last_frame_ms

    def _start_waiting(self, now_ms: float) -> None:
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now_ms
