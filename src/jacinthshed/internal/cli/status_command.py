"""``jacinthshed status``: print the status of a node."""

from typing import Any

import trio
from returns.result import Failure

from ..http.network import tcp_network
from ..node.fetch_status import fetch_status
from ..settings.address import parse_address
from .exit_codes import EXIT_DONE, EXIT_USAGE
from .output import Json, print_json, refuse

DEFAULT_TIMEOUT_MS = 2_000


def status(
    address: str, *, timeout_ms: int = DEFAULT_TIMEOUT_MS, as_json: Json = False
) -> int:
    """Print the status of the node at ADDRESS.

    Example: ``jacinthshed status 10.0.0.7:7002``

    :param address: The node's peer address, as IP:PORT.
    :param timeout_ms: Time to wait for the answer, in milliseconds.
    """
    parsed = parse_address(address)
    if isinstance(parsed, Failure):
        refuse(f"address: expected {parsed.failure()}; got {address!r}")
        return EXIT_USAGE
    connect = tcp_network().connect

    async def fetch() -> Any:
        return await fetch_status(connect, address, timeout_ms=timeout_ms)

    answer = trio.run(fetch)
    if isinstance(answer, Failure):
        return refuse(answer.failure())
    document = answer.unwrap()
    if as_json:
        return print_json(document)
    print("\n".join(_lines(document)))
    return EXIT_DONE


def _lines(document: dict[str, Any]) -> list[str]:
    bundle = document["bundle"]
    admission = document["admission"]
    lines = [
        f"host          {document['host']} ({document['availability_zone']})",
        f"service       {document['service'] or 'none: entry only'}",
        f"state         {document['state']}, "
        f"{'serving' if document['serving'] else 'not serving: no bundle yet'}",
        f"bundle        version {bundle['version']}, {bundle['digest'][:12]}",
        f"admission     {admission['running']} running, {admission['waiting']} "
        f"waiting, limit {admission['limit']}",
        f"calls         {document['calls_in_flight']} in flight",
        f"suspects      {document['suspects']}",
    ]
    lines += [
        f"CLASH         version {clash['version']} was signed twice; "
        f"the other bundle came from {clash['source']}: sign a higher version"
        for clash in bundle["clashes"]
    ]
    for service, hosts in sorted(document["members"].items()):
        lines.append(f"members       {service or 'entry only'}: {', '.join(hosts)}")
    return lines
