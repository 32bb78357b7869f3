"""Stores the records of idempotency keys."""

import random
from collections import OrderedDict

from .key_record import KeyRecord

MAX_KEYS = 10_000
KEY_LIFETIME_S = 600.0

_KEY_BITS = 128


class KeyStore:
    """The records of the most recently used keys.

    An evicted key is treated like a key of unknown origin: the nodes must find out
    whether its request ran. Eviction therefore costs time, but never a second run.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def new_key(self, now_s: float) -> str:
        """Generate a key and store a record that marks it as never sent."""
        key = f"{self._rng.getrandbits(_KEY_BITS):032x}"
        self._store(KeyRecord(key=key, fenced=True, may_have_run=False), now_s)
        return key

    def record(self, key: str, now_s: float, *, first_use: bool) -> KeyRecord:
        """Return the record of ``key``, which is created if it does not exist.

        ``first_use`` asserts that no copy of its request was ever sent.
        """
        self._evict_expired(now_s)
        record = self._records.get(key)
        if record is None:
            record = KeyRecord(key=key, fenced=True, may_have_run=not first_use)
        self._store(record, now_s)
        return record

    def _store(self, record: KeyRecord, now_s: float) -> None:
        record.last_used_s = now_s
        self._records[record.key] = record
        self._records.move_to_end(record.key)

    def _evict_expired(self, now_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            is_expired = oldest.last_used_s + KEY_LIFETIME_S < now_s
            if not is_expired and len(self._records) < MAX_KEYS:
                return
            if oldest.lock.locked():
                return
            del self._records[oldest.key]
