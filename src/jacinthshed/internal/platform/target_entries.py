"""Parsing of the store's entries of targets."""

from typing import Literal

import msgspec
from returns.result import Failure

from ..discovery.target_entry import EntryChange, TargetEntry
from ..settings.address import Address, parse_address
from .store import Item

TARGETS_PREFIX = "servers/"

_MS_PER_S = 1_000


class _Entry(msgspec.Struct):
    """An entry in JSON.

    ``cold_left_s`` is how much longer the target is slow after its start. ``born`` is
    the time of its start in Unix milliseconds; some writers leave it out.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    cold_left_s: float = 0.0
    born: int = 0


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
    if isinstance(address, Failure) or entry.slots < 1:
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
        warming_ms=max(0, int(entry.cold_left_s * _MS_PER_S)),
        started_wall_ms=entry.born,
    )
