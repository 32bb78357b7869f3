"""The bounded table of suspects."""

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from ..bundle.model import QuarantinePolicy
from .suspect_record import SuspectRecord

EVICTION_SCAN = 8


class SuspectTable:
    """Records by fingerprint, the most recently changed ones at the end.

    When the table is full, a record that is only suspected is evicted before one in
    quarantine. If the ``EVICTION_SCAN`` oldest records are all in quarantine, a new
    suspect is not stored: a flood of different crashes must not release a request that
    is known to crash servers.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._records: OrderedDict[int, SuspectRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, fingerprint: int) -> SuspectRecord | None:
        """Return the record of ``fingerprint``, expired or not, or None."""
        return self._records.get(fingerprint)

    def get_live(
        self, now_ms: float, fingerprint: int, policy: QuarantinePolicy
    ) -> SuspectRecord | None:
        """Return the record of ``fingerprint``, or None; delete an expired one."""
        record = self._records.get(fingerprint)
        if record is not None and record.keep_until_ms(policy) <= now_ms:
            del self._records[fingerprint]
            return None
        return record

    def get_or_create(
        self, now_ms: float, fingerprint: int, policy: QuarantinePolicy
    ) -> SuspectRecord | None:
        """Return the record, created if necessary, or None if no room can be made.

        The record becomes the most recently changed one.
        """
        record = self.get_live(now_ms, fingerprint, policy)
        if record is None:
            self._evict_oldest(now_ms, policy)
            if len(self._records) >= self._max_entries:
                return None
            record = self._records[fingerprint] = SuspectRecord(now_ms)
        self._records.move_to_end(fingerprint)
        return record

    def newest_first(self) -> Iterator[tuple[int, SuspectRecord]]:
        """Return the records, the most recently changed first."""
        return reversed(self._records.items())

    def _evict_oldest(self, now_ms: float, policy: QuarantinePolicy) -> None:
        is_full = len(self._records) >= self._max_entries
        for fingerprint, record in list(islice(self._records.items(), EVICTION_SCAN)):
            is_expired = record.keep_until_ms(policy) <= now_ms
            is_only_suspected = record.quarantined_until_ms(policy) is None
            if is_expired or (is_full and is_only_suspected):
                del self._records[fingerprint]
                is_full = False
