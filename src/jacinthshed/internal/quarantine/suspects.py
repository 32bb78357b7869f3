"""Requests that were in flight when backend servers died."""

from collections import Counter
from collections.abc import Iterable
from itertools import islice

from returns.result import Success

from ..bundle.model import QuarantinePolicy
from .crash import (
    CLEAR,
    CRASH,
    CrashId,
    SuspectReport,
    SuspectUpdate,
    decode_update,
    encode_update,
)
from .decisions import NotSuspected, Quarantined, RunAlone
from .recent import RecentSuccesses
from .rumors import Rumors
from .suspect_table import SuspectTable

MAX_FULL_REPORTS = 512


class Suspects:
    """One node's view of which fingerprints crash backend servers.

    All times are monotonic milliseconds of this node.
    """

    def __init__(self, *, policy: QuarantinePolicy) -> None:
        self._policy = policy
        self._table = SuspectTable(max_entries=policy.max_entries)
        self._recent = RecentSuccesses(max_entries=policy.max_entries)
        self._rumors = Rumors(max_entries=policy.max_entries)
        self._in_flight: Counter[int] = Counter()
        self._deaths = 0

    def __len__(self) -> int:
        return len(self._table)

    def set_policy(self, policy: QuarantinePolicy) -> None:
        """Follow a new bundle; bounds of memory stay until the next start."""
        self._policy = policy

    def check(
        self, now_ms: float, fingerprint: int
    ) -> NotSuspected | RunAlone | Quarantined:
        """Decide about a request before it is dispatched.

        A request that carries its caller's own fence is asked about only at its
        target, after the fence registry: it may have run before, so an entry node
        can't refuse it as *not run*.
        """
        record = self._table.get_live(now_ms, fingerprint, self._policy)
        if record is None or not record.suspected:
            return NotSuspected()
        until_ms = record.quarantined_until_ms(self._policy)
        if until_ms is not None and until_ms > now_ms:
            return Quarantined(max(1, int(until_ms - now_ms)))
        return RunAlone(self._suspect_runs())

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether a failed attempt may be repeated by the system."""
        record = self._table.get(fingerprint)
        return record is None or not record.suspected

    def started(self, fingerprint: int) -> None:
        """Note that a request was dispatched here."""
        self._in_flight[fingerprint] += 1

    def stopped(self, fingerprint: int) -> None:
        """Note that a request ended without an answer and without a death."""
        self._in_flight[fingerprint] -= 1
        if self._in_flight[fingerprint] <= 0:
            del self._in_flight[fingerprint]

    def succeeded(self, now_ms: float, fingerprint: int) -> None:
        """Note an answer, of whatever status: the server survived this request."""
        self.stopped(fingerprint)
        self._recent.add(fingerprint, now_ms)
        self._exonerate(now_ms, fingerprint)

    def crashed(
        self, now_ms: float, host: str, incarnation: int, fingerprints: Iterable[int]
    ) -> None:
        """Note that this host's backend server died with ``fingerprints`` in flight.

        If some of them are suspects already, the death is put down to those alone.
        """
        self._deaths += 1
        crash_id = CrashId(incarnation, self._deaths)
        in_flight = list(fingerprints)
        for fingerprint in in_flight:
            self.stopped(fingerprint)
        accused = {f for f in in_flight if not self.may_retry(f)} or set(in_flight)
        for fingerprint in accused:
            self._accuse(
                now_ms, now_ms, SuspectUpdate(fingerprint, host, CRASH, crash_id)
            )

    def apply_report(self, now_ms: float, report: SuspectReport) -> None:
        """Take a peer's report; one that can't be read is passed over."""
        at_ms = now_ms - max(0, report[3])
        match decode_update(report):
            case Success(SuspectUpdate(event="crash") as news):
                self._accuse(now_ms, at_ms, news)
                if self._recent.is_after(news.fingerprint, at_ms):
                    self._exonerate(now_ms, news.fingerprint)
            case Success(news):
                self._clear(now_ms, at_ms, news)

    def reports(self, now_ms: float) -> tuple[SuspectReport, ...]:
        """Return what goes into the next gossip frame."""
        return self._rumors.take(now_ms)

    def all_reports(self, now_ms: float) -> tuple[SuspectReport, ...]:
        """Return everything known, for a peer that has just started."""
        everything = (
            encode_update(news, now_ms - at_ms)
            for fingerprint, record in self._table.newest()
            for news, at_ms in record.news(fingerprint)
        )
        return tuple(islice(everything, MAX_FULL_REPORTS))

    def _accuse(self, now_ms: float, at_ms: float, news: SuspectUpdate) -> None:
        record = self._table.make(now_ms, news.fingerprint, self._policy)
        if record is not None and record.add(news.host, news.crash_id, at_ms):
            self._rumors.add(news, at_ms)

    def _clear(self, now_ms: float, at_ms: float, news: SuspectUpdate) -> None:
        record = self._table.make(now_ms, news.fingerprint, self._policy)
        if record is not None and record.clear(news.host, news.crash_id, at_ms):
            self._rumors.add(news, at_ms)

    def _exonerate(self, now_ms: float, fingerprint: int) -> None:
        """Clear the deaths before the last success of ``fingerprint``."""
        record = self._table.get(fingerprint)
        if record is None:
            return
        for host, crash_id, at_ms in record.crashes():
            if self._recent.is_after(fingerprint, at_ms):
                self._clear(
                    now_ms, now_ms, SuspectUpdate(fingerprint, host, CLEAR, crash_id)
                )

    def _suspect_runs(self) -> bool:
        return any(not self.may_retry(running) for running in self._in_flight)
