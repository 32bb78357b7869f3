"""Requests from end to end through separate processes.

``python -m benchmarks.thin_path`` starts a platform, three services with two targets
each in two availability zones, and a node beside each target. It then sends lookups
and orders through two entry nodes and prints the first two results.
"""

import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import trio
from returns.result import Failure

from jacinthshed import Caller

from .deployment import Deployment, plan_targets
from .processes import processes

ZONES = ["zone-a", "zone-b"]
SERVICES = ["orders", "parts", "schedules"]
REQUESTS = 20


def bundle() -> dict[str, Any]:
    """Return a bundle of three services, each calling the next."""
    service = {"slots": 10, "connections": 50}
    return {
        "deployment": "thin-path",
        "version": 1,
        "availability_zones": ZONES,
        "services": {name: dict(service) for name in SERVICES},
        "routes": {
            "lookup": _route("orders", 5, True, ["stock"]),
            "book": _route("orders", 1, False, ["stock"], method="POST"),
            "stock": _route("parts", 5, True, ["crew"]),
            "crew": _route("schedules", 5, True, []),
        },
    }


def _route(
    service: str, rank: int, idempotent: bool, calls: list[str], method: str = "GET"
) -> dict[str, Any]:
    return {
        "service": service,
        "rank": rank,
        "idempotent": idempotent,
        "deadline_ms": 2_000,
        "methods": [method],
        "calls": calls,
    }


async def _send_requests(entries: list[str]) -> int:
    caller = Caller(entries=entries)
    failures = 0
    began_s = time.perf_counter()
    for number in range(REQUESTS):
        if number % 2:
            result = await caller.request(
                "POST", "/orders/book", key=f"key-{number}", first_use=True
            )
        else:
            result = await caller.request("GET", "/orders/lookup")
        failures += isinstance(result, Failure)
        if number < 2:
            print(result)
    mean_ms = (time.perf_counter() - began_s) * 1_000 / REQUESTS
    print(f"{REQUESTS} requests, {failures} failed, {mean_ms:.1f} ms each")
    await caller.aclose()
    return failures


def main() -> int:
    """Send the requests; return 0 when all succeeded and all nodes exited with 0."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes(Path(folder)) as children,
    ):
        deployment = Deployment(
            processes=children,
            plans=plan_targets(SERVICES, ZONES, 2),
            bundle=bundle(),
            options={
                "orders": {"calls": "/parts/stock"},
                "parts": {"calls": "/schedules/crew"},
            },
        )
        deployment.start()
        failures = trio.run(
            _send_requests, [plan.entry for plan in deployment.plans[:2]]
        )
        codes = [target.node.end() for target in deployment.running.values()]
    print(f"exit codes of the nodes: {codes}")
    return int(failures > 0 or any(codes))


if __name__ == "__main__":
    sys.exit(main())
