"""Lets other nodes read the platform in place of one that it doesn't answer."""

from collections.abc import Callable

from ..bundle.read_scheduler import ReadScheduler
from ..telemetry.log import LogDecision
from ..wire.frames import Unanswered
from .clock import Clock
from .links import LinkTable

# A reader that gets no answers calls again, and says so, within about a second.
UNANSWERED_MS = 2_500


class ReaderHandover:
    """Tells the next hosts of the zone that this one gets no answer, and hears of it.

    ``wake_feeds`` is called when this node may have to read at once.
    """

    def __init__(
        self,
        *,
        host: str,
        reader: ReadScheduler,
        links: LinkTable,
        clock: Clock,
        wake_feeds: Callable[[], None],
        log: LogDecision,
    ) -> None:
        self._host = host
        self._reader = reader
        self._links = links
        self._clock = clock
        self._wake_feeds = wake_feeds
        self._log = log

    def report(self) -> None:
        """Tell the hosts that read next that a call of this node was not answered."""
        for host in self._reader.substitutes():
            self._links.send_soon(host, Unanswered(self._host, UNANSWERED_MS))

    def receive(self, notice: Unanswered) -> None:
        """Process the notice of another host."""
        now_ms = self._clock.now_ms()
        if self._reader.host_unanswered(now_ms, notice.host, notice.for_ms):
            self._log("reader_unanswered", host=notice.host, for_ms=notice.for_ms)
            self._wake_feeds()
