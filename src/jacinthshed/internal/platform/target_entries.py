"""Parsing of the store's entries of targets."""

import ipaddress
from typing import Annotated, Literal

import msgspec
from returns.result import Failure

from ..discovery.target_entry import EntryChange, TargetEntry
from ..settings.address import Address, parse_address
from .store import Item

TARGETS_PREFIX = "servers/"

MAX_SLOTS = 1_000_000
MAX_NAME_CHARACTERS = 1_000
# The last millisecond of the year 9999.
MAX_WALL_MS = 253_402_300_799_999
# A target that claims to be slow for longer is treated as slow for this long.
MAX_COLD_S = 3_600.0

_MS_PER_S = 1_000
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class _Entry(msgspec.Struct):
    """An entry in JSON.

    ``cold_left_s`` is how much longer the target is slow after its start. ``born`` is
    the time of its start in Unix milliseconds; some writers leave it out. The bounds
    keep one entry from making the frames unusable that carry all of them to peers.
    """

    service: _Name
    address: _Name
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_left_s: float = 0.0
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_WALL_MS)] = 0


def parse_entry(item: Item, peer_port: int) -> EntryChange:
    """Return the change that ``item`` makes to the directory of targets.

    A malformed entry gives a change without a target. ``peer_port`` is the port on
    which the node of each host accepts links from its peers.
    """
    return EntryChange(item.key, item.revision, _entry(item, peer_port))


def _entry(item: Item, peer_port: int) -> TargetEntry | None:
    if not item.value:
        return None
    try:
        entry = msgspec.json.decode(item.value, type=_Entry)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    address = parse_address(entry.address)
    if isinstance(address, Failure) or not _is_usable(address.unwrap()):
        return None
    host = address.unwrap().ip
    return TargetEntry(
        target_id=item.key.removeprefix(TARGETS_PREFIX),
        service=entry.service,
        host=host,
        address=entry.address,
        peer_address=str(Address(host, peer_port)),
        availability_zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == "draining",
        warming_ms=int(min(max(0.0, entry.cold_left_s), MAX_COLD_S) * _MS_PER_S),
        started_wall_ms=entry.born,
    )


def _is_usable(address: Address) -> bool:
    """Return whether one backend server can listen on ``address``."""
    ip = ipaddress.ip_address(address.ip)
    is_one_host = not (ip.is_multicast or ip.is_unspecified or ip.is_reserved)
    return is_one_host and address.port > 0
