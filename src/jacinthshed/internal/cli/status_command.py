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
        f"bundle        version {bundle['version']}, {bundle['digest'][:12]}"
        f"{_policy_age_text(bundle)}",
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
    return lines + [_workspace_line(w) for w in document.get("workspaces", ())]


def _policy_age_text(bundle: dict[str, Any]) -> str:
    age_ms = bundle.get("policy_age_ms")
    return "" if age_ms is None else f", known to be the newest {age_ms} ms ago"


def _workspace_line(workspace: dict[str, Any]) -> str:
    told_ago_ms = workspace["told_ago_ms"]
    share = f"{workspace['admitted_permille'] / 10:.1f}% admitted"
    told = (
        "home told nothing yet" if told_ago_ms is None else f"told {told_ago_ms} ms ago"
    )
    if workspace["is_on_its_own"]:
        # The share that was told is not applied then.
        told = f"on its own, no answer of the home; last {share}, {told}"
    else:
        told = f"{share}, {told}"
    return f"workspace     {workspace['workspace']}: {told}, home {workspace['home']}"
