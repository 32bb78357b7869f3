"""A node's view of the membership."""

from collections.abc import Iterable, Sequence
from math import inf

from ..wire.frames import Leaving, MemberRecord
from .departures import Departures
from .host_list import HostList, HostListChanges, ListedHost
from .own_record import OwnRecord
from .record_order import GONE, LEAVING, LIVE, is_well_formed, order_key, record_hash
from .service_index import ServiceIndex

GONE_LIFETIME_MS = 86_400_000.0
MAX_GONE_RECORDS = 4_096


class View:
    """The highest known record of each host.

    Merging takes the maximum in a total order for each host, so it is commutative,
    associative and idempotent: views that received the same records are equal,
    regardless of the order and the number of deliveries.

    ``last_changed_ms`` is when a record last changed and ``last_agreed_ms`` when a peer
    last had the same digest, both on the monotonic clock. ``version`` increases with
    each change of a record or of the hosts to avoid.
    """

    def __init__(self, *, self_record: MemberRecord) -> None:
        self._own = OwnRecord(record=self_record)
        # Ordered from the least to the most recently changed record.
        self._records: dict[str, MemberRecord] = {}
        self._record_changed_ms: dict[str, float] = {}
        self._service_changed_ms: dict[str, float] = {}
        self._gone_at_ms: dict[str, float] = {}
        self._host_list = HostList()
        self._index = ServiceIndex()
        self._departures = Departures()
        self._digest = 0
        self.last_changed_ms = -inf
        self.last_agreed_ms = -inf
        self.version = 0
        self._hosts: tuple[str, ...] = ()
        self._hosts_version = 0
        self._store(0.0, self_record)

    @property
    def self_record(self) -> MemberRecord:
        """The record of this node."""
        return self._own.record

    @property
    def digest(self) -> int:
        """A hash of all live and leaving records.

        Records of hosts that are gone don't count: each node expires them at its own
        time, and views that differ only in them route in the same way.
        """
        return self._digest

    @property
    def outranked_by(self) -> MemberRecord | None:
        """A record about this host that this incarnation can't outrank, if any.

        It is set when another node announced that this incarnation has left, or when a
        higher incarnation is known. If the node still serves, its owner has to call
        ``renew`` with an incarnation above that of this record.
        """
        return self._own.outranked_by

    def get(self, host: str) -> MemberRecord | None:
        """Return the record of ``host`` in any state, or ``None``."""
        return self._records.get(host)

    def is_routable(self, host: str) -> bool:
        """Return whether new work may be routed to ``host``."""
        record = self._records.get(host)
        return record is not None and record.state == LIVE

    def members(self, service: str) -> tuple[MemberRecord, ...]:
        """Return the members of ``service`` that take new work, ordered by host."""
        return self._index.members(service)

    def services(self) -> tuple[str, ...]:
        """Return the names of services that have or had members."""
        return self._index.services()

    def changed_ago_ms(self, service: str, now_ms: float) -> float:
        """Return the time since a target of ``service`` joined, left or restarted."""
        return now_ms - self._service_changed_ms.get(service, -inf)

    def queryable(self, service: str) -> tuple[MemberRecord, ...]:
        """Return all targets of ``service`` that can still report what they ran.

        They include targets that are leaving or avoided because of a hint.
        """
        return tuple(
            record
            for record in self._records.values()
            if record.service == service and record.state != GONE
        )

    def departed(
        self, service: str, within_ms: float, now_ms: float
    ) -> tuple[MemberRecord, ...]:
        """Return incarnations that stopped taking work in the last ``within_ms``.

        They may have run a key that is still being resent. Those that are leaving can
        still report what they ran.
        """
        return self._departures.within(service, within_ms, now_ms)

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts that are live or leaving, except this node's own."""
        if self._hosts_version != self.version:
            self._hosts_version = self.version
            self._hosts = tuple(
                record.host
                for record in self._records.values()
                if record.state != GONE and record.host != self._own.record.host
            )
        return self._hosts

    def records(self) -> tuple[MemberRecord, ...]:
        """Return all records, the least recently changed first."""
        return tuple(self._records.values())

    def recent(self, count: int, since_ms: float = inf) -> list[MemberRecord]:
        """Return the last ``count`` changes, or all since ``since_ms`` if more."""
        records: list[MemberRecord] = []
        for host in reversed(self._records):
            if len(records) >= count and self._record_changed_ms[host] < since_ms:
                break
            records.append(self._records[host])
        return records

    def contacts(self) -> tuple[ListedHost, ...]:
        """Return listed hosts without a record, or whose record says they are gone.

        If both sides of a partition consider the other side gone, they contact each
        other again only because the list shows the other side's hosts.
        """
        known = (host for host, r in self._records.items() if r.state != GONE)
        return self._host_list.unknown(known)

    def merge(
        self, now_ms: float, records: Iterable[MemberRecord]
    ) -> list[MemberRecord]:
        """Merge ``records`` and return those that changed the view.

        If a record about this node itself is refuted, the refutation is among them.
        """
        changed = []
        for record in records:
            if not is_well_formed(record) or not self._supersedes_known(record):
                continue
            self._store(now_ms, record)
            changed.append(record)
            if record.host == self._own.record.host:
                refutation = self._own.refute(record)
                if refutation is not None:
                    self._store(now_ms, refutation)
                    changed.append(refutation)
        return changed

    def apply_leaving(self, now_ms: float, notice: Leaving) -> list[MemberRecord]:
        """Apply a host's own notice that it takes no new work.

        Return the records that changed the view. A notice about this node is a hint
        from the platform's list and is ignored here; ``should_leave`` decides on it.
        """
        if notice.host == self._own.record.host:
            return []
        known = self._records.get(notice.host)
        if known is None:
            known = MemberRecord(
                notice.host, notice.incarnation, LIVE, 0, "", "", "", 0
            )
        if known.incarnation == notice.incarnation and known.state != LIVE:
            return []
        record = known._replace(incarnation=notice.incarnation, state=LEAVING)
        return self.merge(now_ms, [record])

    def leave(self, now_ms: float) -> MemberRecord:
        """Mark this node as leaving and return its record."""
        return self._set_own_state(now_ms, LEAVING)

    def mark_gone(self, now_ms: float) -> MemberRecord:
        """Mark this node as gone and return its last record."""
        return self._set_own_state(now_ms, GONE)

    def renew(self, now_ms: float, incarnation: int) -> MemberRecord:
        """Switch to a higher incarnation and return the record to announce.

        Raises ``ValueError`` when ``incarnation`` is not above the known one.
        """
        known = self._records[self._own.record.host]
        record = self._own.renew(incarnation, known)
        self._store(now_ms, record)
        return record

    def declare_gone(self, now_ms: float, host: str) -> list[MemberRecord]:
        """Mark ``host`` as gone; the caller has checked the evidence."""
        known = self._records.get(host)
        if known is None or host == self._own.record.host:
            return []
        return self.merge(now_ms, [known._replace(state=GONE)])

    def apply_host_list(
        self, now_ms: float, hosts: Sequence[ListedHost]
    ) -> HostListChanges:
        """Apply the platform's list as a hint and return the consequences.

        A host that the list shows as leaving is avoided while its service has enough
        others, until the list shows it as live or a higher incarnation of it is known.
        Hosts that the list doesn't contain stay members.
        """
        self._host_list.update(hosts, self._records.get)
        self._apply_hints()
        own_host = self._own.record.host
        hints = self._host_list.hints(self._records.get)
        notices = tuple(hint for hint in hints if hint.host != own_host)
        own_leaving = self._host_list.shows_leaving(own_host)
        return HostListChanges(self.contacts(), notices, own_leaving)

    def is_delisted(self, host: str) -> bool:
        """Return whether the platform's list showed ``host`` before and dropped it."""
        return self._host_list.has_dropped(host)

    def expire(self, now_ms: float) -> None:
        """Drop records of hosts that have been gone for ``GONE_LIFETIME_MS``."""
        self._departures.expire(now_ms)
        for host, at_ms in list(self._gone_at_ms.items()):
            is_old = at_ms + GONE_LIFETIME_MS <= now_ms
            if not is_old and len(self._gone_at_ms) <= MAX_GONE_RECORDS:
                return
            if host != self._own.record.host:
                del self._records[host], self._record_changed_ms[host]
            del self._gone_at_ms[host]

    def _supersedes_known(self, record: MemberRecord) -> bool:
        known = self._records.get(record.host)
        return known is None or order_key(record) > order_key(known)

    def _set_own_state(self, now_ms: float, state: str) -> MemberRecord:
        record = self._own.end(state, self._records[self._own.record.host])
        if self._supersedes_known(record):
            self._store(now_ms, record)
        return record

    def _store(self, now_ms: float, record: MemberRecord) -> None:
        old = self._records.pop(record.host, None)
        if old is not None:
            self._remove_from_indexes(now_ms, old, record)
        self._records[record.host] = record
        self._record_changed_ms[record.host] = now_ms
        if record.state != GONE:
            self._digest ^= record_hash(record)
        if record.state == LIVE:
            self._index.add(record)
        else:
            self._departures.add(now_ms, record)
        if record.state == GONE:
            self._gone_at_ms[record.host] = now_ms
        if self._host_list.has_hint(record.host):
            self._apply_hints()
        self.last_changed_ms = now_ms
        if old is None or (old.incarnation, old.state) != (
            record.incarnation,
            record.state,
        ):
            self._service_changed_ms[record.service] = now_ms
        self.version += 1

    def _remove_from_indexes(
        self, now_ms: float, old: MemberRecord, new: MemberRecord
    ) -> None:
        self._gone_at_ms.pop(old.host, None)
        if old.state != GONE:
            self._digest ^= record_hash(old)
        if old.state == LIVE:
            self._index.remove(old)
        if old.incarnation != new.incarnation:
            self._departures.add(now_ms, old)

    def _apply_hints(self) -> None:
        hints = self._host_list.hints(self._records.get)
        if self._index.set_avoided({hint.host for hint in hints}):
            self.version += 1
