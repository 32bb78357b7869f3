"""Parsing of the store's entries of targets."""

import ipaddress
from collections.abc import Callable
from functools import partial
from typing import Annotated, Literal

import msgspec
from returns.result import Failure, Result, Success

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


def parse_entry(
    item: Item, peer_port: int, on_ignored: Callable[[Item, str], None]
) -> EntryChange:
    """Return the change that ``item`` makes to the directory of targets.

    A malformed entry gives a change without a target; ``on_ignored`` is called with it
    and the reason. ``peer_port`` is the port on which the node of each host accepts
    links from its peers.
    """
    if item.value is None:
        return EntryChange(item.key, item.revision, None)
    entry = _parse_value(item.key, item.value, peer_port)
    if isinstance(entry, Failure):
        on_ignored(item, entry.failure())
    return EntryChange(item.key, item.revision, entry.value_or(None))


def _parse_value(key: str, value: bytes, peer_port: int) -> Result[TargetEntry, str]:
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(str(error))
    return (
        parse_address(entry.address)
        .bind(_check_usable)
        .map(partial(_target_entry, key, entry, peer_port))
        .alt("expected {} - at `$.address`".format)
    )


def _target_entry(
    key: str, entry: _Entry, peer_port: int, address: Address
) -> TargetEntry:
    host = address.ip
    return TargetEntry(
        target_id=key.removeprefix(TARGETS_PREFIX),
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


def _check_usable(address: Address) -> Result[Address, str]:
    """Return ``address`` if one backend server can listen on it."""
    ip = ipaddress.ip_address(address.ip)
    if ip.is_multicast or ip.is_unspecified or ip.is_reserved:
        return Failure("an address of one host")
    if isinstance(ip, ipaddress.IPv6Address) and ip.scope_id is not None:
        return Failure("an address without a zone index, as that differs by host")
    return Success(address) if address.port > 0 else Failure("a port from 1")
