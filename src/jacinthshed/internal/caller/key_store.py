"""Fences by idempotency key."""

import random
from collections import OrderedDict

from .key_record import KeyRecord

MAX_KEYS = 10_000
KEY_LIFETIME_S = 600.0

_KEY_BITS = 128


class KeyStore:
    """Records of the keys that were used lately.

    A forgotten key is treated like one of unknown origin: the system is asked whether
    it ran. So forgetting costs time, never a second run.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()

    def new_key(self, now_s: float) -> str:
        """Return a key that was never sent, and remember that."""
        key = f"{self._rng.getrandbits(_KEY_BITS):032x}"
        self._keep(KeyRecord(key=key, fenced=True, may_have_run=False), now_s)
        return key

    def record(self, key: str, now_s: float, *, first_use: bool) -> KeyRecord:
        """Return the record of ``key``.

        ``first_use`` is the application's word that no copy was ever sent.
        """
        self._forget_old(now_s)
        record = self._records.get(key)
        if record is None:
            record = KeyRecord(key=key, fenced=True, may_have_run=not first_use)
        self._keep(record, now_s)
        return record

    def _keep(self, record: KeyRecord, now_s: float) -> None:
        record.used_s = now_s
        self._records[record.key] = record
        self._records.move_to_end(record.key)

    def _forget_old(self, now_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            is_old = oldest.used_s + KEY_LIFETIME_S < now_s
            if not is_old and len(self._records) < MAX_KEYS:
                return
            if oldest.lock.locked():
                return
            del self._records[oldest.key]
