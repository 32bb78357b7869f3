"""One target as the directory lists it."""

from typing import NamedTuple


class TargetEntry(NamedTuple):
    """A target, the host it runs on and what it says of itself.

    ``target_id`` names one life of a target: one that starts again mostly has another.
    ``address`` is the target's own ``IP:port``, ``host`` the IP of its host, and
    ``peer_address`` that of the node beside it.
    ``warming_ms`` is how much longer it stays slow after its start, counted from the
    moment at which it said so, and ``started_wall_ms`` its start by its own wall clock.
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
    """What the directory says of one target from ``revision`` on.

    ``entry`` is ``None`` for a target that left the directory, and for an entry that
    names no usable target.
    """

    key: str
    revision: int
    entry: TargetEntry | None
