"""Recently changed records that are still being forwarded."""

from collections.abc import Iterable

from ..wire.frames import MemberRecord
from .view import View

# If each node sends a rumor to six peers, it reaches all but a few nodes in a thousand.
# The others get it by the comparison of digests, which takes longer because it runs in
# rounds.
RUMOR_FANOUT = 6
MAX_FRAME_RECORDS = 32


class Rumors:
    """Hosts whose records changed recently, with the number of sends left for each."""

    def __init__(self) -> None:
        self._remaining_sends: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._remaining_sends)

    def add(self, records: Iterable[MemberRecord]) -> None:
        """Start to forward ``records``."""
        for record in records:
            self._remaining_sends[record.host] = RUMOR_FANOUT

    def take(self, view: View, messages: int) -> tuple[MemberRecord, ...]:
        """Return up to ``MAX_FRAME_RECORDS`` records to send in ``messages`` messages.

        The records are read from the view, so a rumor is never older than the view.
        """
        records = []
        for host in list(self._remaining_sends)[:MAX_FRAME_RECORDS]:
            record = view.get(host)
            if record is not None:
                records.append(record)
            self._count_down(host, messages)
        return tuple(records)

    def _count_down(self, host: str, messages: int) -> None:
        remaining = self._remaining_sends.pop(host) - messages
        if remaining > 0:
            # Re-inserted at the end, so that all rumors of a burst are sent in turn.
            self._remaining_sends[host] = remaining
