"""Chooses the targets of one service that a node keeps links to."""

from collections.abc import Iterable
from typing import NamedTuple

from ..wire.frames import MemberRecord
from .rendezvous import score

# A node links to ``size // SPILL_DIVISOR`` targets in each other availability zone.
# Work spills there rarely, and from many nodes at once, so a few targets per node are
# enough.
SPILL_DIVISOR = 3


class Subset(NamedTuple):
    """Targets in the node's own availability zone, and spill targets in others."""

    local: tuple[MemberRecord, ...]
    spill: tuple[MemberRecord, ...]


def subset(
    self_host: str, availability_zone: str, members: Iterable[MemberRecord], size: int
) -> Subset:
    """Return the targets that ``self_host`` keeps links to.

    The targets of each availability zone are ranked with rendezvous hashing. A node has
    at most ``size`` links in its own zone, every target gets about the same number of
    callers, and a host that joins or leaves changes only the links to itself and those
    that replace them.
    """
    by_zone: dict[str, list[MemberRecord]] = {}
    for record in members:
        by_zone.setdefault(record.availability_zone, []).append(record)
    local = _top_ranked(self_host, by_zone.pop(availability_zone, []), size)
    spill_size = max(1, size // SPILL_DIVISOR)
    spill: list[MemberRecord] = []
    for zone in sorted(by_zone):
        spill += _top_ranked(self_host, by_zone[zone], spill_size)
    return Subset(tuple(local), tuple(spill))


def _top_ranked(
    self_host: str, records: list[MemberRecord], size: int
) -> list[MemberRecord]:
    ranked = sorted(
        records, key=lambda record: (score(self_host, record.host), record.host)
    )
    return ranked[:size]
