"""Entries and changes of the directory of targets."""

from typing import NamedTuple


class TargetEntry(NamedTuple):
    """A target, its host, and the state that the target reported.

    ``target_id`` identifies one instance of a target; a restarted target usually has
    another one. ``address`` is the ``IP:port`` of the target itself, ``host`` the IP of
    its host, and ``peer_address`` the ``IP:port`` of the node beside it.
    ``warming_ms`` is how much longer the target stays slow after its start, counted
    from when it reported this value. ``started_wall_ms`` is its start time on its own
    wall clock.
    """

    target_id: str
    service: str
    host: str
    address: str
    peer_address: str
    availability_zone: str
    slots: int
    leaving: bool
    warming_ms: int
    started_wall_ms: int


class EntryChange(NamedTuple):
    """The state of one target in the directory from ``revision`` on.

    ``revision`` is an ordinal that includes the generation of the source.
    ``entry`` is ``None`` for a target that was removed from the directory, and for an
    entry that doesn't describe a usable target.
    """

    key: str
    revision: int
    entry: TargetEntry | None
