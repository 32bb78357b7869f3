"""One node's view of all members."""

from collections.abc import Iterable, Sequence
from math import inf

from ..wire.frames import Leaving, MemberRecord
from .departures import Departures
from .host_list import HostList, HostListChanges, ListedHost
from .own_record import OwnRecord
from .record_order import GONE, LEAVING, LIVE, is_well_formed, order_key, record_hash
from .service_index import ServiceIndex

GONE_LIFETIME_MS = 86_400_000.0
MAX_GONE = 4_096


class View:
    """The highest record known of each host.

    Merging takes the maximum in a total order for each host, so it is commutative,
    associative and idempotent: views that heard the same records are equal, in
    whatever order and however often they heard them.
    """

    def __init__(self, *, self_record: MemberRecord) -> None:
        self._own = OwnRecord(record=self_record)
        # Ordered from the least to the most recently changed record.
        self._records: dict[str, MemberRecord] = {}
        self._changed_ms: dict[str, float] = {}
        self._service_changed_ms: dict[str, float] = {}
        self._gone_at_ms: dict[str, float] = {}
        self._host_list = HostList()
        self._index = ServiceIndex()
        self._departures = Departures()
        self._digest = 0
        self.changed_ms = -inf
        self.last_agreed_ms = -inf
        self.version = 0
        self._hosts: tuple[str, ...] = ()
        self._hosts_version = 0
        self._put(0.0, self_record)

    @property
    def self_record(self) -> MemberRecord:
        """The record of this node."""
        return self._own.record

    @property
    def digest(self) -> int:
        """A hash of all live and leaving records.

        Records of hosts that are gone don't count: each node forgets them in its own
        time, and views that differ only in them route alike.
        """
        return self._digest

    @property
    def outranked_by(self) -> MemberRecord | None:
        """A record about this host which this incarnation can't outrank, if any.

        It is set when others were told that this incarnation has left, or when they
        know a higher one. While this node still serves, its owner has to call
        ``renew`` with an incarnation above the one shown here.
        """
        return self._own.outranked_by

    def get(self, host: str) -> MemberRecord | None:
        """Return the record of ``host``, in whatever state."""
        return self._records.get(host)

    def is_routable(self, host: str) -> bool:
        """Return whether ``host`` may be given new work."""
        record = self._records.get(host)
        return record is not None and record.state == LIVE

    def members(self, service: str) -> tuple[MemberRecord, ...]:
        """Return the members of ``service`` that take new work, ordered by host."""
        return self._index.members(service)

    def services(self) -> tuple[str, ...]:
        """Return the names of services that have or had members."""
        return self._index.services()

    def changed_ago_ms(self, service: str, now_ms: float) -> float:
        """Return how long ago a target of ``service`` last came, left or restarted."""
        return now_ms - self._service_changed_ms.get(service, -inf)

    def queryable(self, service: str) -> tuple[MemberRecord, ...]:
        """Return all targets of ``service`` that can still be asked what they ran.

        Those that are avoided on a hint, or leaving, are among them.
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

        They may have run a key that is still resent. Leaving ones can still be asked.
        """
        return self._departures.within(service, within_ms, now_ms)

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts that are live or leaving, but for this node's own."""
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
            if len(records) >= count and self._changed_ms[host] < since_ms:
                break
            records.append(self._records[host])
        return records

    def contacts(self) -> tuple[ListedHost, ...]:
        """Return listed hosts of which no record is known, or only that they are gone.

        Two sides of a partition that both took the other for gone would never speak
        again, if neither went by a list that shows the other.
        """
        known = (host for host, r in self._records.items() if r.state != GONE)
        return self._host_list.unknown(known)

    def merge(
        self, now_ms: float, records: Iterable[MemberRecord]
    ) -> list[MemberRecord]:
        """Take in ``records`` and return those that changed something.

        An answer to a record about this node itself is among them.
        """
        changed = []
        for record in records:
            if not is_well_formed(record) or not self._is_news(record):
                continue
            self._put(now_ms, record)
            changed.append(record)
            if record.host == self._own.record.host:
                answer = self._own.answer(record)
                if answer is not None:
                    self._put(now_ms, answer)
                    changed.append(answer)
        return changed

    def apply_leaving(self, now_ms: float, notice: Leaving) -> list[MemberRecord]:
        """Take in another host's own word that it takes no new work.

        A notice about this node is a hint from the platform's list; ``should_leave``
        tells whether to follow it.
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
        return self._end(now_ms, LEAVING)

    def mark_gone(self, now_ms: float) -> MemberRecord:
        """Mark this node as gone, as the last thing it says."""
        return self._end(now_ms, GONE)

    def renew(self, now_ms: float, incarnation: int) -> MemberRecord:
        """Go on under a higher incarnation and return the record to spread.

        Raises ``ValueError`` when ``incarnation`` is not above the one known.
        """
        known = self._records[self._own.record.host]
        record = self._own.renew(incarnation, known)
        self._put(now_ms, record)
        return record

    def declare_gone(self, now_ms: float, host: str) -> list[MemberRecord]:
        """Mark ``host`` as gone on evidence that the caller has judged."""
        known = self._records.get(host)
        if known is None or host == self._own.record.host:
            return []
        return self.merge(now_ms, [known._replace(state=GONE)])

    def apply_host_list(
        self, now_ms: float, hosts: Sequence[ListedHost]
    ) -> HostListChanges:
        """Take the platform's list as a hint and return what follows from it.

        A host that the list shows as leaving is avoided while enough others of its
        service are there, until the list shows it as live or a higher incarnation of
        it is known. Hosts that the list lacks stay members.
        """
        self._host_list.update(hosts, self._records.get)
        self._follow_hints()
        own_host = self._own.record.host
        hints = self._host_list.hints(self._records.get)
        notices = tuple(hint for hint in hints if hint.host != own_host)
        own_leaving = self._host_list.shows_leaving(own_host)
        return HostListChanges(self.contacts(), notices, own_leaving)

    def is_delisted(self, host: str) -> bool:
        """Return whether the platform's list has lost ``host``."""
        return self._host_list.has_lost(host)

    def expire(self, now_ms: float) -> None:
        """Forget records of hosts that have been gone for ``GONE_LIFETIME_MS``."""
        self._departures.expire(now_ms)
        for host, at_ms in list(self._gone_at_ms.items()):
            is_old = at_ms + GONE_LIFETIME_MS <= now_ms
            if not is_old and len(self._gone_at_ms) <= MAX_GONE:
                return
            if host != self._own.record.host:
                del self._records[host], self._changed_ms[host]
            del self._gone_at_ms[host]

    def _is_news(self, record: MemberRecord) -> bool:
        known = self._records.get(record.host)
        return known is None or order_key(record) > order_key(known)

    def _end(self, now_ms: float, state: str) -> MemberRecord:
        record = self._own.end(state, self._records[self._own.record.host])
        if self._is_news(record):
            self._put(now_ms, record)
        return record

    def _put(self, now_ms: float, record: MemberRecord) -> None:
        old = self._records.pop(record.host, None)
        if old is not None:
            self._take_out(now_ms, old, record)
        self._records[record.host] = record
        self._changed_ms[record.host] = now_ms
        if record.state != GONE:
            self._digest ^= record_hash(record)
        if record.state == LIVE:
            self._index.add(record)
        else:
            self._departures.add(now_ms, record)
        if record.state == GONE:
            self._gone_at_ms[record.host] = now_ms
        if self._host_list.is_hinted(record.host):
            self._follow_hints()
        self.changed_ms = now_ms
        if old is None or (old.incarnation, old.state) != (
            record.incarnation,
            record.state,
        ):
            self._service_changed_ms[record.service] = now_ms
        self.version += 1

    def _take_out(self, now_ms: float, old: MemberRecord, new: MemberRecord) -> None:
        self._gone_at_ms.pop(old.host, None)
        if old.state != GONE:
            self._digest ^= record_hash(old)
        if old.state == LIVE:
            self._index.remove(old)
        if old.incarnation != new.incarnation:
            self._departures.add(now_ms, old)

    def _follow_hints(self) -> None:
        hints = self._host_list.hints(self._records.get)
        if self._index.avoid({hint.host for hint in hints}):
            self.version += 1
