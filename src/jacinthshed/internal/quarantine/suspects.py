"""Requests that were in flight when backend servers crashed."""

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
from .report_queue import ReportQueue
from .suspect_table import SuspectTable

MAX_FULL_REPORTS = 512


class Suspects:
    """One node's records of which fingerprints may crash backend servers.

    All times are monotonic milliseconds of this node.
    """

    def __init__(self, *, policy: QuarantinePolicy) -> None:
        self._policy = policy
        self._table = SuspectTable(max_entries=policy.max_entries)
        self._recent = RecentSuccesses(max_entries=policy.max_entries)
        self._report_queue = ReportQueue(max_entries=policy.max_entries)
        self._in_flight: Counter[int] = Counter()
        self._crash_count = 0

    def __len__(self) -> int:
        return len(self._table)

    def set_policy(self, policy: QuarantinePolicy) -> None:
        """Apply the policy of a new bundle; ``max_entries`` needs a restart."""
        self._policy = policy

    def check(
        self, now_ms: float, fingerprint: int
    ) -> NotSuspected | RunAlone | Quarantined:
        """Decide about a request before it is dispatched.

        A request that carries its caller's own fence is checked only at its target,
        after the lookup in the fence registry: it may have run before, so that an entry
        node can't refuse it with the verdict *not run*.
        """
        record = self._table.get_live(now_ms, fingerprint, self._policy)
        if record is None or not record.suspected:
            return NotSuspected()
        until_ms = record.quarantined_until_ms(self._policy)
        if until_ms is not None and until_ms > now_ms:
            return Quarantined(max(1, int(until_ms - now_ms)))
        return RunAlone(self._is_suspect_running())

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether nodes may retry a failed attempt; not so for a suspect."""
        record = self._table.get(fingerprint)
        return record is None or not record.suspected

    def started(self, fingerprint: int) -> None:
        """Record that a request was dispatched at this host."""
        self._in_flight[fingerprint] += 1

    def stopped(self, fingerprint: int) -> None:
        """Record the end of a request that was neither a success nor a crash."""
        self._in_flight[fingerprint] -= 1
        if self._in_flight[fingerprint] <= 0:
            del self._in_flight[fingerprint]

    def succeeded(self, now_ms: float, fingerprint: int) -> None:
        """Record an answer that is not a refusal: the server survived this request."""
        self.stopped(fingerprint)
        self._recent.add(fingerprint, now_ms)
        self._clear_before_success(now_ms, fingerprint)

    def crashed(
        self, now_ms: float, host: str, incarnation: int, fingerprints: Iterable[int]
    ) -> None:
        """Record a crash of this host's backend server with ``fingerprints`` in flight.

        If some of them are suspects already, the crash is attributed to those alone.
        """
        self._crash_count += 1
        crash_id = CrashId(incarnation, self._crash_count)
        in_flight = list(fingerprints)
        for fingerprint in in_flight:
            self.stopped(fingerprint)
        suspects = {f for f in in_flight if not self.may_retry(f)} or set(in_flight)
        for fingerprint in suspects:
            self._add_crash(
                now_ms, now_ms, SuspectUpdate(fingerprint, host, CRASH, crash_id)
            )

    def apply_report(self, now_ms: float, report: SuspectReport) -> None:
        """Apply a peer's report; a malformed one is ignored."""
        at_ms = now_ms - max(0, report[3])
        match decode_update(report):
            case Success(SuspectUpdate(event="crash") as update):
                self._add_crash(now_ms, at_ms, update)
                if self._recent.has_success_since(update.fingerprint, at_ms):
                    self._clear_before_success(now_ms, update.fingerprint)
            case Success(update):
                self._clear(now_ms, at_ms, update)

    def reports(self, now_ms: float) -> tuple[SuspectReport, ...]:
        """Return the reports for the next gossip frame, and count them as sent."""
        return self._report_queue.take(now_ms)

    def all_reports(self, now_ms: float) -> tuple[SuspectReport, ...]:
        """Return reports of all records for a peer that has just started.

        There are at most ``MAX_FULL_REPORTS``, of the most recently changed records.
        """
        everything = (
            encode_update(update, now_ms - at_ms)
            for fingerprint, record in self._table.newest_first()
            for update, at_ms in record.updates(fingerprint)
        )
        return tuple(islice(everything, MAX_FULL_REPORTS))

    def _add_crash(self, now_ms: float, at_ms: float, update: SuspectUpdate) -> None:
        record = self._table.get_or_create(now_ms, update.fingerprint, self._policy)
        if record is not None and record.add(update.host, update.crash_id, at_ms):
            self._report_queue.add(update, at_ms)

    def _clear(self, now_ms: float, at_ms: float, update: SuspectUpdate) -> None:
        record = self._table.get_or_create(now_ms, update.fingerprint, self._policy)
        if record is not None and record.clear(update.host, update.crash_id, at_ms):
            self._report_queue.add(update, at_ms)

    def _clear_before_success(self, now_ms: float, fingerprint: int) -> None:
        """Clear the crashes up to the last success of ``fingerprint``."""
        record = self._table.get(fingerprint)
        if record is None:
            return
        for host, crash_id, at_ms in record.crashes():
            if self._recent.has_success_since(fingerprint, at_ms):
                self._clear(
                    now_ms, now_ms, SuspectUpdate(fingerprint, host, CLEAR, crash_id)
                )

    def _is_suspect_running(self) -> bool:
        return any(not self.may_retry(running) for running in self._in_flight)
