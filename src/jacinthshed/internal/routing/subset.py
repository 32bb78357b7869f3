"""Chooses the targets of one service that a node keeps links to."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from ..wire.frames import MemberRecord
from .balanced import balanced_assignment, rank_hosts
from .rendezvous import score

# A node links to ``size // SPILL_DIVISOR`` targets in each other availability zone.
# Work spills there rarely, and from many nodes at once, so a few targets per node are
# enough.
SPILL_DIVISOR = 3

CallersByZone = Mapping[str, Collection[str]]


class Subset(NamedTuple):
    """Targets in the node's own availability zone, and spill targets in others."""

    local: tuple[MemberRecord, ...]
    spill: tuple[MemberRecord, ...]


class _Caller(NamedTuple):
    """The calling node, and the hosts of all callers by availability zone.

    ``group`` are the callers in the node's own zone, in the order of ``rank_hosts``.
    """

    host: str
    availability_zone: str
    size: int
    all_callers: CallersByZone
    group: list[str]

    def size_in(self, source: str, zone: str) -> int:
        """Return the number of targets in ``zone`` that a caller in ``source`` has."""
        return self.size if source == zone else max(1, self.size // SPILL_DIVISOR)


def subset(
    self_host: str,
    availability_zone: str,
    members: Iterable[MemberRecord],
    size: int,
    *,
    is_balanced: bool = False,
    callers: CallersByZone | None = None,
) -> Subset:
    """Return the targets that ``self_host`` keeps links to.

    The targets of each availability zone are ranked with rendezvous hashing. A node has
    at most ``size`` links in its own zone, every target gets about the same number of
    callers, and a host that joins or leaves changes only the links to itself and those
    that replace them.

    With ``is_balanced``, the numbers of callers of two targets of a zone differ by one
    at most if all nodes know the same ``members`` and the same ``callers``: the hosts
    of all nodes by availability zone. A host that joins or leaves then also changes
    some links of other hosts.
    """
    all_callers = callers or {}
    in_zone = (*all_callers.get(availability_zone, ()), self_host)
    group = rank_hosts(in_zone) if is_balanced else []
    caller = _Caller(self_host, availability_zone, size, all_callers, group)
    choose = _balanced if is_balanced else _top_ranked
    by_zone: dict[str, list[MemberRecord]] = {}
    for record in members:
        by_zone.setdefault(record.availability_zone, []).append(record)
    local = choose(caller, availability_zone, by_zone.pop(availability_zone, []))
    spill: list[MemberRecord] = []
    for zone in sorted(by_zone):
        spill += choose(caller, zone, by_zone[zone])
    return Subset(tuple(local), tuple(spill))


def _top_ranked(
    caller: _Caller, zone: str, records: list[MemberRecord]
) -> list[MemberRecord]:
    ranked = sorted(
        records, key=lambda record: (score(caller.host, record.host), record.host)
    )
    return ranked[: caller.size_in(caller.availability_zone, zone)]


def _balanced(
    caller: _Caller, zone: str, records: list[MemberRecord]
) -> list[MemberRecord]:
    """Return the targets in ``zone`` that the caller is assigned.

    The callers of each zone are assigned separately. Each group starts with the targets
    at which the previous group ended, the one in the targets' own zone being the first,
    so that the sums over all groups differ by one at most, too.
    """
    own_zone = caller.availability_zone
    size = caller.size_in(own_zone, zone)
    if size >= len(records):
        return records
    by_host = {record.host: record for record in records}
    targets = rank_hosts(by_host)
    offset = _links_before(caller, zone, len(targets))
    assigned = balanced_assignment(caller.group, targets, size, offset)
    return [by_host[targets[index]] for index in assigned[caller.host]]


def _links_before(caller: _Caller, zone: str, targets: int) -> int:
    """Return the number of links into ``zone`` of the groups before the caller's."""
    own_zone = caller.availability_zone
    if own_zone == zone:
        return 0
    others = (source for source in caller.all_callers if source != zone)
    before = (zone, *(source for source in others if source < own_zone))
    return sum(
        len(caller.all_callers.get(source, ()))
        * min(caller.size_in(source, zone), targets)
        for source in before
    )
