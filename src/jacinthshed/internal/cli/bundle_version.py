"""Fetches the version of the bundle in force from a node."""

from typing import Any

import trio
from returns.result import Failure, Result

from ..http.network import tcp_network
from ..node.fetch_status import fetch_status
from ..settings.address import parse_address

TIMEOUT_MS = 2_000


def fetch_version_in_force(address: str) -> Result[int, str]:
    """Return the version of the bundle in force at the node with this peer address."""
    parsed = parse_address(address)
    if isinstance(parsed, Failure):
        return Failure(f"{address!r}: expected {parsed.failure()}")
    connect = tcp_network().connect

    async def fetch() -> Any:
        return await fetch_status(connect, address, timeout_ms=TIMEOUT_MS)

    answer: Result[dict[str, Any], str] = trio.run(fetch)
    return answer.map(lambda document: int(document["bundle"]["version"]))
