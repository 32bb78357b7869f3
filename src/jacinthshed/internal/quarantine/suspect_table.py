"""The bounded table of suspects."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from ..bundle.model import QuarantinePolicy
from .suspect_record import SuspectRecord

SCAN = 8


class SuspectTable:
    """Records by fingerprint, those that changed last at the end.

    When it is full a suspect makes room before a quarantined request does. If the
    oldest ones are all in quarantine, a new suspect isn't taken in: a flood of deaths
    that differ must not free a request that is known to kill.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._records: OrderedDict[int, SuspectRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, fingerprint: int) -> SuspectRecord | None:
        """Return the record of ``fingerprint``, if there is one."""
        return self._records.get(fingerprint)

    def get_live(
        self, now_ms: float, fingerprint: int, policy: QuarantinePolicy
    ) -> SuspectRecord | None:
        """Return the record unless its time is over."""
        record = self._records.get(fingerprint)
        if record is not None and record.keep_until_ms(policy) <= now_ms:
            del self._records[fingerprint]
            return None
        return record

    def make(
        self, now_ms: float, fingerprint: int, policy: QuarantinePolicy
    ) -> SuspectRecord | None:
        """Return the record, a new one if need be, or ``None`` without room for it."""
        record = self.get_live(now_ms, fingerprint, policy)
        if record is None:
            self._drop_old(now_ms, policy)
            if len(self._records) >= self._max_entries:
                return None
            record = self._records[fingerprint] = SuspectRecord(now_ms)
        self._records.move_to_end(fingerprint)
        return record

    def newest(self) -> Iterator[tuple[int, SuspectRecord]]:
        """Return the records, those that changed last first."""
        return reversed(self._records.items())

    def _drop_old(self, now_ms: float, policy: QuarantinePolicy) -> None:
        full = len(self._records) >= self._max_entries
        for fingerprint, record in list(islice(self._records.items(), SCAN)):
            over = record.keep_until_ms(policy) <= now_ms
            free = record.quarantined_until_ms(policy) is None
            if over or (full and free):
                del self._records[fingerprint]
                full = False
