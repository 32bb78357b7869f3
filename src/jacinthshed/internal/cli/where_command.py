"""``jacinthshed where``: where a node would send a request for a service now."""

from pathlib import Path
from typing import Annotated, Any, NotRequired, TypedDict

import cyclopts
import msgspec
import trio
from returns.result import Failure, Result, Success

from ..http.network import tcp_network
from ..node.fetch_status import fetch_status
from ..routing.status import CandidateStatus, ServiceRouting
from ..settings.address import parse_address
from .exit_codes import EXIT_DONE, EXIT_USAGE
from .output import Json, print_json, refuse
from .status_command import DEFAULT_TIMEOUT_MS


class _BundleStatus(TypedDict):
    version: int
    digest: str
    age_ms: NotRequired[int | None]


class _NodeStatus(TypedDict):
    """The parts of a status document that this command reads."""

    host: str
    availability_zone: str
    state: str
    serving: bool
    bundle: _BundleStatus
    routing: NotRequired[dict[str, ServiceRouting]]


def where(
    address: str,
    service: str,
    *,
    status: Annotated[Path | None, cyclopts.Parameter(name="--status")] = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    as_json: Json = False,
) -> int:
    """Print where the node at ADDRESS would send a request for SERVICE now, and why.

    No request is sent, and nothing changes on the node.

    Example: ``jacinthshed where 10.0.0.7:7002 repair-orders``

    :param address: The node's peer address, as IP:PORT. Not contacted with --status.
    :param service: Name of the called service.
    :param status: Output of ``jacinthshed status --json`` to read instead of asking.
    :param timeout_ms: Time to wait for the answer, in milliseconds.
    """
    parsed = parse_address(address)
    if isinstance(parsed, Failure):
        refuse(f"address: expected {parsed.failure()}; got {address!r}")
        return EXIT_USAGE
    source = address if status is None else str(status)
    read = _ask(address, timeout_ms) if status is None else _read_file(status)
    found = read.bind(lambda document: _checked(document, source))
    if isinstance(found, Failure):
        return refuse(found.failure())
    node = found.unwrap()
    selected = _select(node, service, source)
    if isinstance(selected, Failure):
        return refuse(selected.failure())
    routing = selected.unwrap()
    if as_json:
        return print_json(_document(node, service, routing))
    print("\n".join(_lines(node, service, routing, status)))
    return EXIT_DONE


def _ask(address: str, timeout_ms: int) -> Result[Any, str]:
    connect = tcp_network().connect

    async def fetch() -> Result[dict[str, Any], str]:
        return await fetch_status(connect, address, timeout_ms=timeout_ms)

    return trio.run(fetch)


def _read_file(path: Path) -> Result[Any, str]:
    try:
        return Success(msgspec.json.decode(path.read_bytes()))
    except OSError as error:
        return Failure(f"{path}: {error.strerror or error}")
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(f"{path}: not a JSON document: {error}")


def _checked(document: Any, source: str) -> Result[_NodeStatus, str]:
    try:
        return Success(msgspec.convert(document, _NodeStatus))
    except msgspec.ValidationError as error:
        return Failure(f"{source}: not the status of a node: {error}")


def _select(
    node: _NodeStatus, service: str, source: str
) -> Result[ServiceRouting, str]:
    routing = node.get("routing")
    if routing is None:
        return Failure(
            f"{source}: the status has no section routing: "
            f"{node['host']} runs a version without it"
        )
    if service not in routing:
        known = ", ".join(sorted(routing)) or "none"
        return Failure(
            f"no such service: {node['host']} knows no targets of {service!r}; "
            f"services: {known}"
        )
    return Success(routing[service])


def _document(
    node: _NodeStatus, service: str, routing: ServiceRouting
) -> dict[str, Any]:
    named = {key: value for key, value in node.items() if key != "routing"}
    return {"service": service, "node": named, **routing}


def _lines(
    node: _NodeStatus, service: str, routing: ServiceRouting, file: Path | None
) -> list[str]:
    serving = "serving" if node["serving"] else "not serving: no bundle yet"
    lines = [
        f"service     {service}",
        f"node        {node['host']} ({node['availability_zone']}), "
        f"{node['state']}, {serving}",
        f"policy      {_policy_text(node['bundle'])}",
        f"decision    {_decision_text(routing)}",
        f"reason      {routing['reason']}",
        f"headroom    up to a load of {routing['max_load']:.2f}",
    ]
    if file is not None:
        lines.insert(0, f"saved       in {file}; the node was not asked")
    return lines + ["", *_table(routing["candidates"])]


def _policy_text(bundle: _BundleStatus) -> str:
    age_ms = bundle.get("age_ms")
    if age_ms is None:
        return f"version {bundle['version']}"
    age_s = age_ms / 1_000
    digest = bundle["digest"][:12]
    return f"version {bundle['version']}, {digest}, in force here for {age_s:.1f} s"


def _decision_text(routing: ServiceRouting) -> str:
    if routing["stage"] is None:
        return "none"
    stages = [f"{name} {_percent(share)}" for name, share in routing["stages"].items()]
    return f"{', '.join(stages)}; most probably {routing['host']}"


def _table(candidates: list[CandidateStatus]) -> list[str]:
    rows = [_HEADINGS, *map(_row, candidates)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


_HEADINGS = ("host", "zone", "load", "age", "in flight", "avoided", "probability")


def _row(candidate: CandidateStatus) -> tuple[str, ...]:
    zone = candidate["availability_zone"]
    age_ms, avoid_ms = candidate["load_age_ms"], candidate["avoid_ms"]
    return (
        candidate["host"],
        f"{zone} (local)" if candidate["is_local"] else zone,
        f"{candidate['load']:.2f}",
        "never reported" if age_ms is None else f"{age_ms} ms",
        str(candidate["in_flight"]),
        f"for {avoid_ms} ms" if avoid_ms else "no",
        _percent(candidate["probability"]),
    )


def _percent(share: float | None) -> str:
    return "not computed" if share is None else f"{share:.1%}"
