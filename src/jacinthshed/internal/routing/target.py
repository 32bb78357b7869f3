"""The state that an entry node keeps about one target."""

from ..wire.frames import MemberRecord

# An older load is ignored: the target may have received no work since it was reported.
LOAD_TTL_MS = 1_000.0
UNKNOWN_LOAD = 0.5
# Added to the load, so that requests in flight decide between targets with load 0.
LOAD_FLOOR = 0.25
MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5_000.0
# Time over which a lasting slowdown becomes the usual one of a target. It is much
# longer than a slow moment of 600 ms.
USUAL_FACTOR_MS = 10_000.0
_USUAL_PCT = 100.0
_NEVER_MS = float("-inf")


class Target:
    """Requests in flight from this node, and the load that the target reported.

    ``load_hint`` is a load from another source than the target; it can only raise the
    ``effective_load``. ``factor`` is how many times as long as usual work takes there
    by its last reply, and ``usual_factor`` its mean over ``USUAL_FACTOR_MS``.
    ``sent_since_report`` counts the requests sent from here since the last reply.
    """

    __slots__ = (
        "availability_zone",
        "avoid_until_ms",
        "factor",
        "failures",
        "first_seen_ms",
        "load_hint",
        "host",
        "in_flight",
        "incarnation",
        "load",
        "load_at_ms",
        "sent_since_report",
        "service",
        "usual_factor",
    )

    def __init__(self, *, record: MemberRecord, first_seen_ms: float) -> None:
        self.host = record.host
        self.service = record.service
        self.incarnation = record.incarnation
        self.availability_zone = record.availability_zone
        self.first_seen_ms = first_seen_ms
        self.in_flight = 0
        self.load = UNKNOWN_LOAD
        self.load_at_ms = _NEVER_MS
        self.avoid_until_ms = float("-inf")
        self.failures = 0
        self.load_hint = 0.0
        self.factor = 1.0
        self.usual_factor = 1.0
        self.sent_since_report = 0

    @property
    def has_reported(self) -> bool:
        """Whether a reply of the target gave its load."""
        return self.load_at_ms != _NEVER_MS

    def effective_load(self, now_ms: float) -> float:
        """Return the load as a share of the target's limit.

        It is ``UNKNOWN_LOAD`` without a recent report, and at least ``load_hint``.
        """
        is_fresh = now_ms - self.load_at_ms < LOAD_TTL_MS
        load = self.load if is_fresh else UNKNOWN_LOAD
        return max(load, self.load_hint)

    def cost(self, now_ms: float) -> float:
        """Return a number without a unit that is lower for a less busy target.

        The load includes the work of all callers but arrives late. The requests in
        flight are known at once but are only those of this node. Their product
        combines both: nodes that received the same stale low load still spread their
        own work.
        """
        return (self.in_flight + 1) * (LOAD_FLOOR + self.effective_load(now_ms))

    def back_off(self, now_ms: float) -> None:
        """Avoid the target after a failure, longer after each failure in a row."""
        backoff_ms = MIN_BACKOFF_MS * 2.0 ** min(self.failures, 16)
        self.failures += 1
        self.avoid(now_ms + min(backoff_ms, MAX_BACKOFF_MS))

    def avoid(self, until_ms: float) -> None:
        """Prefer other targets until ``until_ms``, or longer if that was set before."""
        self.avoid_until_ms = max(self.avoid_until_ms, until_ms)

    def update_load(self, now_ms: float, load: float) -> None:
        """Store the load of a reply, and end any avoidance and backoff."""
        self.load = load
        self.load_at_ms = now_ms
        self.sent_since_report = 0
        self.failures = 0
        self.avoid_until_ms = float("-inf")

    def update_slowdown(self, now_ms: float, slowdown_pct: int) -> None:
        """Store the slowdown of a reply; call it before ``update_load``."""
        self.factor = slowdown_pct / _USUAL_PCT
        if self.has_reported:
            share = min(1.0, (now_ms - self.load_at_ms) / USUAL_FACTOR_MS)
            self.usual_factor += (self.factor - self.usual_factor) * share
        else:
            self.usual_factor = self.factor
