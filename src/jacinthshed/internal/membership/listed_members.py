"""The targets of a directory as members that requests can be routed to."""

from collections.abc import Callable, Iterable

from ..discovery.directory import Directory
from ..discovery.target_entry import TargetEntry
from ..wire.frames import MemberRecord
from .host_list import ListedHost
from .record_order import LIVE
from .view import View

MembersOf = Callable[[str], Iterable[MemberRecord]]


def listed_members(directory: Directory, view: View) -> MembersOf:
    """Return a function that returns the routable targets of a service.

    These are the listed targets whose node takes new work. A node that left may come
    back at any moment while its target keeps running. If the nodes of all targets have
    left, all targets are returned: a refusal costs less than no attempt.
    """

    def members_of(service: str) -> list[MemberRecord]:
        records = [_record(entry) for entry in directory.targets(service)]
        available = [record for record in records if _takes_work(record.host)]
        return available or records

    def _takes_work(host: str) -> bool:
        known = view.get(host)
        return known is None or known.state == LIVE

    return members_of


def listed_hosts(directory: Directory) -> list[ListedHost]:
    """Return the hosts of all targets, as contacts for gossip."""
    return [
        ListedHost(
            host=entry.host,
            service=entry.service,
            availability_zone=entry.availability_zone,
            peer_address=entry.peer_address,
        )
        for entry in directory.entries()
    ]


def _record(entry: TargetEntry) -> MemberRecord:
    return MemberRecord(
        host=entry.host,
        incarnation=entry.started_wall_ms,
        state=LIVE,
        revision=0,
        service=entry.service,
        availability_zone=entry.availability_zone,
        peer_address=entry.peer_address,
        started_ms=entry.started_wall_ms,
    )
