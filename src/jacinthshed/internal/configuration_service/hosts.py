"""Parses the platform's list of hosts.

The value is a JSON list. It is a hint only, as it lags behind the real state: a host
that is missing from it may be running, and a host that is on it may be gone.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from ..settings.address import Address, parse_address
from ..settings.checks import NAME_EXPECTED, is_name
from ..settings.problem import Problem


class HostState(StrEnum):
    """The state of a host as published by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRecord(NamedTuple):
    """A valid record of one host."""

    host: str
    service: str
    availability_zone: str
    peer_address: Address
    state: HostState


class HostList(NamedTuple):
    """The valid records, and the problems of the records that were left out.

    An invalid record does not invalidate the list, which covers the whole fleet.
    """

    hosts: tuple[HostRecord, ...]
    problems: tuple[Problem, ...]


class _PublishedRecord(msgspec.Struct):
    """A record as published; keys that are not listed here are ignored."""

    host: str
    service: str
    availability_zone: str
    peer_address: str
    state: HostState


def parse_hosts(value: bytes) -> Result[HostList, Problem]:
    """Return the host list in ``value``; fails only when it is not a JSON list."""
    try:
        raw_records = msgspec.json.decode(value, type=list[msgspec.Raw])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(Problem("", "a JSON list of hosts", str(error)))
    hosts: dict[str, HostRecord] = {}
    problems: list[Problem] = []
    for index, raw in enumerate(raw_records):
        parsed = _parse_record(raw, f"[{index}]")
        if isinstance(parsed, Failure):
            problems.append(parsed.failure())
        else:
            _add_record(hosts, parsed.unwrap(), f"[{index}]", problems)
    return Success(HostList(tuple(hosts.values()), tuple(problems)))


def _parse_record(raw: msgspec.Raw, path: str) -> Result[HostRecord, Problem]:
    try:
        record = msgspec.json.decode(raw, type=_PublishedRecord)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(Problem(path, "a host", str(error)))
    if not record.host:
        return Failure(Problem(f"{path}.host", "a host's name", "nothing"))
    if not is_name(record.availability_zone):
        found = repr(record.availability_zone)
        return Failure(Problem(f"{path}.availability_zone", NAME_EXPECTED, found))
    if record.service and not is_name(record.service):
        return Failure(Problem(f"{path}.service", NAME_EXPECTED, repr(record.service)))
    address = parse_address(record.peer_address)
    if isinstance(address, Failure):
        found = repr(record.peer_address)
        return Failure(Problem(f"{path}.peer_address", address.failure(), found))
    return Success(
        HostRecord(
            record.host,
            record.service,
            record.availability_zone,
            address.unwrap(),
            record.state,
        )
    )


def _add_record(
    hosts: dict[str, HostRecord],
    record: HostRecord,
    path: str,
    problems: list[Problem],
) -> None:
    existing = hosts.get(record.host)
    if existing is not None:
        problems.append(Problem(path, "each host once", f"{record.host} twice"))
    # Of two records of a host, one in state ``leaving`` wins: sending no work is safe.
    if existing is None or record.state is HostState.LEAVING:
        hosts[record.host] = record
