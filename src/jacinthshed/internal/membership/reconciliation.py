"""Anti-entropy: how differing views are compared and how much is sent."""

from ..wire.frames import MemberRecord
from .record_order import order_key
from .rumors import MAX_FRAME_RECORDS
from .view import View

# After this many replies with recent records only, the full view is requested.
PARTIAL_REPLIES_BEFORE_FULL = 2
# Time until the full view is requested again: the peer may be dead, or its reply lost.
FULL_VIEW_RETRY_MS = 2_000.0
# Time between a received full view and the next request; doubles with each full view.
MIN_FULL_VIEW_INTERVAL_MS = 10_000.0
MAX_FULL_VIEW_INTERVAL_MS = 600_000.0


class Reconciliation:
    """Finds and repairs differences between views that rumors have left.

    Views usually differ in the latest changes, so the reply to a differing digest
    contains only the most recent records. The full view is requested only if digests
    still differ after a few such replies, and at a bounded rate.

    ``settle_ms`` is the time without changes after which a view should equal others.
    """

    def __init__(self, *, settle_ms: float) -> None:
        self.settle_ms = settle_ms
        self._differing_since_ms: float | None = None
        self._partial_replies = 0
        self._last_partial_reply_ms = float("-inf")
        self._next_request_ms = float("-inf")
        self._full_received_ms = float("-inf")
        self._request_interval_ms = MIN_FULL_VIEW_INTERVAL_MS
        self._full_sent_ms = float("-inf")

    def digests_agreed(self) -> None:
        """Record that the digest of a peer equals this node's."""
        self._differing_since_ms = None
        self._partial_replies = 0

    def digests_differed(self, now_ms: float, view: View) -> bool:
        """Record that digests differ; return whether to send recent records now.

        While rumors are still spreading, differing digests are normal.
        """
        if self._differing_since_ms is None:
            self._differing_since_ms = now_ms
        is_settled = now_ms - view.last_changed_ms >= self.settle_ms
        is_overdue = now_ms - self._differing_since_ms >= 4 * self.settle_ms
        if not (is_settled or is_overdue):
            return False
        if now_ms - self._last_partial_reply_ms < self.settle_ms / 2:
            return False
        self._last_partial_reply_ms = now_ms
        self._partial_replies += 1
        return True

    def should_request_full_view(self, now_ms: float) -> bool:
        """Return whether to request the full view of the next peer.

        The request is repeated until a full view arrives, because the peer may be dead.
        """
        if (
            self._partial_replies < PARTIAL_REPLIES_BEFORE_FULL
            or now_ms < self._next_request_ms
        ):
            return False
        self._next_request_ms = now_ms + FULL_VIEW_RETRY_MS
        return True

    def full_view_received(self, now_ms: float) -> None:
        """Record that a full view arrived.

        If even full views don't make the digests equal, as between releases that order
        records differently, the interval between requests grows.
        """
        if now_ms - self._full_received_ms >= MAX_FULL_VIEW_INTERVAL_MS:
            self._request_interval_ms = MIN_FULL_VIEW_INTERVAL_MS
        self._full_received_ms = now_ms
        self._next_request_ms = now_ms + self._request_interval_ms
        self._request_interval_ms = min(
            2 * self._request_interval_ms, MAX_FULL_VIEW_INTERVAL_MS
        )
        self._partial_replies = 0

    def may_send_full_view(self, now_ms: float) -> bool:
        """Return whether this node may send its full view now."""
        if now_ms - self._full_sent_ms < self.settle_ms:
            return False
        self._full_sent_ms = now_ms
        return True


def is_full_view(records: tuple[MemberRecord, ...]) -> bool:
    """Return whether ``records`` are a full view; other messages have fewer records."""
    return len(records) > MAX_FRAME_RECORDS


def newer_than(view: View, records: tuple[MemberRecord, ...]) -> list[MemberRecord]:
    """Return the records of ``view`` that supersede one of ``records``."""
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
