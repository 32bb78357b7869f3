"""Which news a node still tells its peers."""

from collections import OrderedDict

from .crash import SuspectReport, SuspectUpdate, encode_update

TELLINGS = 16
MAX_REPORTS = 32


class Rumors:
    """Updates with the number of times each was sent.

    Each is told often enough that it reaches every node by gossip with near
    certainty, and then no more, so that a quiet fleet spends nothing on it.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._tellings: OrderedDict[SuspectUpdate, int] = OrderedDict()
        self._times_ms: dict[SuspectUpdate, float] = {}

    def add(self, news: SuspectUpdate, at_ms: float) -> None:
        """Begin to tell ``news`` of an event at ``at_ms``."""
        self._tellings[news] = 0
        self._tellings.move_to_end(news, last=False)
        self._times_ms[news] = at_ms
        if len(self._tellings) > self._max_entries:
            oldest, _ = self._tellings.popitem()
            del self._times_ms[oldest]

    def take(self, now_ms: float) -> tuple[SuspectReport, ...]:
        """Return what goes into the next gossip frame, newest first."""
        chosen = list(self._tellings)[:MAX_REPORTS]
        reports = tuple(
            encode_update(news, now_ms - self._times_ms[news]) for news in chosen
        )
        for news in chosen:
            self._count(news)
        return reports

    def _count(self, news: SuspectUpdate) -> None:
        self._tellings[news] += 1
        if self._tellings[news] >= TELLINGS:
            del self._tellings[news]
            del self._times_ms[news]
