"""What an entry node knows about one target."""

from ..wire.frames import MemberRecord

# A reported load says little after this time, as the target may have been left alone.
LOAD_TTL_MS = 1_000.0
UNKNOWN_LOAD = 0.5
# Lets requests in flight decide between targets that report no load.
LOAD_FLOOR = 0.25
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0


class Target:
    """Requests in flight from this node, and the load that the target reported.

    ``hint`` is a load that others claim for it; it can only lower trust.
    """

    __slots__ = (
        "availability_zone",
        "avoid_until_ms",
        "failures",
        "first_ms",
        "hint",
        "host",
        "in_flight",
        "incarnation",
        "load",
        "load_ms",
    )

    def __init__(self, *, record: MemberRecord, first_ms: float) -> None:
        self.host = record.host
        self.incarnation = record.incarnation
        self.availability_zone = record.availability_zone
        self.first_ms = first_ms
        self.in_flight = 0
        self.load = UNKNOWN_LOAD
        self.load_ms = float("-inf")
        self.avoid_until_ms = float("-inf")
        self.failures = 0
        self.hint = 0.0

    def known_load(self, now_ms: float) -> float:
        """Return the load as a share of the target's limit, or a guess at it."""
        is_fresh = now_ms - self.load_ms < LOAD_TTL_MS
        load = self.load if is_fresh else UNKNOWN_LOAD
        return max(load, self.hint)

    def cost(self, now_ms: float) -> float:
        """Return a figure that is lower for a target with more room.

        The load counts the work of all callers but is late; the requests in flight
        are only this node's but known at once. In their product each corrects the
        other: nodes that see the same stale low load still spread their own work.
        """
        return (self.in_flight + 1) * (LOAD_FLOOR + self.known_load(now_ms))

    def failed(self, now_ms: float) -> None:
        """Avoid the target, longer after each failure in a row."""
        backoff_ms = MIN_BACKOFF_MS * 2.0 ** min(self.failures, 16)
        self.failures += 1
        self.avoid(now_ms + min(backoff_ms, MAX_BACKOFF_MS))

    def avoid(self, until_ms: float) -> None:
        """Prefer other targets until ``until_ms``."""
        self.avoid_until_ms = max(self.avoid_until_ms, until_ms)

    def replied(self, now_ms: float, load: float) -> None:
        """Take in the load that came with a reply."""
        self.load = load
        self.load_ms = now_ms
        self.failures = 0
        self.avoid_until_ms = float("-inf")
