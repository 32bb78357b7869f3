"""Fresh records that are still told on."""

from collections.abc import Iterable

from ..wire.frames import MemberRecord
from .view import View

# A rumor that each node tells six peers reaches all but a few nodes in a thousand. The
# comparison of digests brings it to the rest, but in rounds, so it takes longer.
REPEATS = 6
MAX_RECORDS = 32


class Rumors:
    """Hosts whose records changed lately, with how often each is still told."""

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def add(self, records: Iterable[MemberRecord]) -> None:
        """Start telling ``records``."""
        for record in records:
            self._left[record.host] = REPEATS

    def take(self, view: View, messages: int) -> tuple[MemberRecord, ...]:
        """Return at most ``MAX_RECORDS`` to be told in ``messages`` messages.

        The records are read from the view, so a rumor is never older than the view.
        """
        records = []
        for host in list(self._left)[:MAX_RECORDS]:
            record = view.get(host)
            if record is not None:
                records.append(record)
            self._count_down(host, messages)
        return tuple(records)

    def _count_down(self, host: str, messages: int) -> None:
        left = self._left.pop(host) - messages
        if left > 0:
            # Put back at the end, so that all rumors of a burst get their turn.
            self._left[host] = left
