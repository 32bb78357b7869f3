"""When two views that differ are compared, and how much is sent."""

from ..wire.frames import MemberRecord
from .record_order import order_key
from .rumors import MAX_RECORDS
from .view import View

# How many answers to differing digests bring only recent records before all are
# asked for.
WINDOW_TRIES = 2
# The wait for a copy that was asked for: the peer may be dead, or its answer lost.
FULL_RETRY_MS = 2_000.0
# The wait after a whole copy came, which doubles with each one.
MIN_FULL_INTERVAL_MS = 10_000.0
MAX_FULL_INTERVAL_MS = 600_000.0


class Reconciliation:
    """Repairs what rumors missed.

    Views that differ usually differ in what changed last, so the answer to another
    digest is a window of the most recent records. Only when digests still differ
    after some such answers is a full copy asked for, at a bounded rate.
    """

    def __init__(self, *, quiet_ms: float) -> None:
        self.quiet_ms = quiet_ms
        self._differing_since_ms: float | None = None
        self._tries = 0
        self._answered_ms = float("-inf")
        self._next_full_ms = float("-inf")
        self._got_all_ms = float("-inf")
        self._full_interval_ms = MIN_FULL_INTERVAL_MS
        self._gave_all_ms = float("-inf")

    def agreed(self) -> None:
        """Note that a peer's digest equals the own one."""
        self._differing_since_ms = None
        self._tries = 0

    def differed(self, now_ms: float, view: View) -> bool:
        """Note that digests differ; return whether recent records are to be sent.

        While rumors are under way differing digests are normal.
        """
        if self._differing_since_ms is None:
            self._differing_since_ms = now_ms
        is_settled = now_ms - view.changed_ms >= self.quiet_ms
        is_overdue = now_ms - self._differing_since_ms >= 4 * self.quiet_ms
        if not (is_settled or is_overdue):
            return False
        if now_ms - self._answered_ms < self.quiet_ms / 2:
            return False
        self._answered_ms = now_ms
        self._tries += 1
        return True

    def asks_all(self, now_ms: float) -> bool:
        """Return whether to ask the next peer for its whole view.

        The ask is repeated until a copy comes, as the peer may be one that died.
        """
        if self._tries < WINDOW_TRIES or now_ms < self._next_full_ms:
            return False
        self._next_full_ms = now_ms + FULL_RETRY_MS
        return True

    def got_all(self, now_ms: float) -> None:
        """Note that a whole view came.

        Where even whole copies don't make views equal, as between releases that order
        records differently, they are asked for ever more rarely.
        """
        if now_ms - self._got_all_ms >= MAX_FULL_INTERVAL_MS:
            self._full_interval_ms = MIN_FULL_INTERVAL_MS
        self._got_all_ms = now_ms
        self._next_full_ms = now_ms + self._full_interval_ms
        self._full_interval_ms = min(2 * self._full_interval_ms, MAX_FULL_INTERVAL_MS)
        self._tries = 0

    def gives_all(self, now_ms: float) -> bool:
        """Return whether a whole view may be sent now."""
        if now_ms - self._gave_all_ms < self.quiet_ms:
            return False
        self._gave_all_ms = now_ms
        return True


def is_full(records: tuple[MemberRecord, ...]) -> bool:
    """Return whether ``records`` are a whole view: others are shorter."""
    return len(records) > MAX_RECORDS


def newer_than(view: View, records: tuple[MemberRecord, ...]) -> list[MemberRecord]:
    """Return the records of ``view`` that supersede some of ``records``."""
    newer = []
    for record in records:
        known = view.get(record.host)
        if known is not None and order_key(known) > order_key(record):
            newer.append(known)
    return newer


def missing_from(view: View, records: tuple[MemberRecord, ...]) -> list[MemberRecord]:
    """Return the records of ``view`` whose hosts are not among ``records``."""
    hosts = {record.host for record in records}
    return [record for record in view.records() if record.host not in hosts]
