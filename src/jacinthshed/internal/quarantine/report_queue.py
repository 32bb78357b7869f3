"""The updates about suspects that a node still sends to its peers."""

from collections import OrderedDict

from .crash import SuspectReport, SuspectUpdate, encode_update

MAX_SENDS = 16
MAX_REPORTS = 32


class ReportQueue:
    """Updates to put into gossip frames, and how often each was sent.

    An update is sent ``MAX_SENDS`` times, often enough to reach every node by gossip
    with near certainty. It is then dropped, so that gossip carries no reports while no
    server crashes. With more than ``max_entries`` updates the oldest is dropped.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._send_counts: OrderedDict[SuspectUpdate, int] = OrderedDict()
        self._event_times_ms: dict[SuspectUpdate, float] = {}

    def add(self, update: SuspectUpdate, at_ms: float) -> None:
        """Add ``update`` about an event at ``at_ms``, to be sent before older ones."""
        self._send_counts[update] = 0
        self._send_counts.move_to_end(update, last=False)
        self._event_times_ms[update] = at_ms
        if len(self._send_counts) > self._max_entries:
            oldest, _ = self._send_counts.popitem()
            del self._event_times_ms[oldest]

    def take(self, now_ms: float) -> tuple[SuspectReport, ...]:
        """Return at most ``MAX_REPORTS`` for the next gossip frame, newest first.

        Each of them is counted as sent once more.
        """
        chosen = list(self._send_counts)[:MAX_REPORTS]
        reports = tuple(
            encode_update(update, now_ms - self._event_times_ms[update])
            for update in chosen
        )
        for update in chosen:
            self._count_send(update)
        return reports

    def _count_send(self, update: SuspectUpdate) -> None:
        self._send_counts[update] += 1
        if self._send_counts[update] >= MAX_SENDS:
            del self._send_counts[update]
            del self._event_times_ms[update]
