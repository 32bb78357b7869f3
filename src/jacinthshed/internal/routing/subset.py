"""The targets of one service that a node keeps links to."""

from collections.abc import Iterable
from typing import NamedTuple

from ..wire.frames import MemberRecord
from .rendezvous import score

# Share of ``size`` that is taken in each other availability zone. Work spills there
# rarely, and from many nodes at once, so a few targets each are enough.
SPILL_SHARE = 3


class Subset(NamedTuple):
    """Targets in the node's own availability zone, and those that work spills to."""

    local: tuple[MemberRecord, ...]
    spill: tuple[MemberRecord, ...]


def subset(
    self_host: str, availability_zone: str, members: Iterable[MemberRecord], size: int
) -> Subset:
    """Return the targets that ``self_host`` keeps links to.

    Each availability zone is ranked by itself with rendezvous hashing. Links of one
    node stay bounded by ``size`` in its own zone, every target gets about the same
    number of callers, and a host that joins or leaves moves only its own links.
    """
    by_zone: dict[str, list[MemberRecord]] = {}
    for record in members:
        by_zone.setdefault(record.availability_zone, []).append(record)
    local = _first(self_host, by_zone.pop(availability_zone, []), size)
    spill_size = max(1, size // SPILL_SHARE)
    spill: list[MemberRecord] = []
    for zone in sorted(by_zone):
        spill += _first(self_host, by_zone[zone], spill_size)
    return Subset(tuple(local), tuple(spill))


def _first(
    self_host: str, records: list[MemberRecord], size: int
) -> list[MemberRecord]:
    ranked = sorted(
        records, key=lambda record: (score(self_host, record.host), record.host)
    )
    return ranked[:size]
