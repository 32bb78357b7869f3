"""Records of incarnations that have departed."""

from collections import OrderedDict
from typing import NamedTuple

from ..wire.frames import MemberRecord

DEPARTURE_LIFETIME_MS = 7_200_000.0
MAX_DEPARTURES = 4_096


class Departure(NamedTuple):
    """An incarnation that no longer takes new work.

    ``at_ms`` is when this node learned of the departure, on its monotonic clock.
    """

    record: MemberRecord
    at_ms: float


class Departures:
    """Departed incarnations, oldest first, bounded in number and age."""

    def __init__(self) -> None:
        self._entries: OrderedDict[tuple[str, int], Departure] = OrderedDict()

    def add(self, now_ms: float, record: MemberRecord) -> None:
        """Add ``record``; a departure that is already known keeps its time."""
        key = (record.host, record.incarnation)
        known = self._entries.get(key)
        if known is not None:
            self._entries[key] = Departure(record, known.at_ms)
            return
        self._entries[key] = Departure(record, now_ms)
        if len(self._entries) > MAX_DEPARTURES:
            self._entries.popitem(last=False)

    def within(
        self, service: str, within_ms: float, now_ms: float
    ) -> tuple[MemberRecord, ...]:
        """Return the records of ``service`` that departed in the last ``within_ms``."""
        since_ms = now_ms - within_ms
        return tuple(
            departure.record
            for departure in self._entries.values()
            if departure.at_ms >= since_ms and departure.record.service == service
        )

    def expire(self, now_ms: float) -> None:
        """Drop departures that are older than ``DEPARTURE_LIFETIME_MS``."""
        while self._entries:
            departure = next(iter(self._entries.values()))
            if departure.at_ms + DEPARTURE_LIFETIME_MS > now_ms:
                return
            self._entries.popitem(last=False)
