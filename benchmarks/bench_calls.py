"""Cost of a call through two nodes, beside the same call without nodes.

``python -m benchmarks.bench_calls [--seconds 5]`` starts one backend server with a node
beside it, and a second node that is an entry node only. The same caller sends the same
requests to the backend server directly and through both nodes, in turn in one run.
"""

import argparse
import csv
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.network import tcp_network

from .deployment import Deployment, TargetPlan, free_ports, plan_targets
from .processes import Process, processes

IN_FLIGHT = (1, 4, 13)
TARGET_CALLS_PER_S = 320
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REQUEST = Request(
    b"GET", b"/echo/item?id=7", ((b"host", b"callers"), (b"accept", b"*/*"))
)


class Figures(NamedTuple):
    """The measured cost of calls one way under one load.

    ``way`` is "direct" or "two nodes". Processor times are for one call; nodes stay
    idle in a direct call.
    """

    way: str
    load: str
    calls_per_s: float
    p50_ms: float
    p99_ms: float
    entry_cpu_us: float
    target_cpu_us: float


def bundle() -> dict[str, Any]:
    """Return a bundle of one service with one idempotent route."""
    return {
        "deployment": "bench",
        "version": 1,
        "availability_zones": ["zone-a"],
        "services": {"echo": {"slots": 64, "connections": 128}},
        "routes": {
            "item": {
                "service": "echo",
                "rank": 5,
                "idempotent": True,
                "deadline_ms": 2_000,
            }
        },
    }


def cpu_s(process: Process) -> float:
    """Return the processor time that ``process`` has used, in seconds."""
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_S


async def _call_once(pool: BackendPool, latencies_ms: list[float]) -> None:
    began_s = time.perf_counter()
    outcome = await pool.request(REQUEST, timeout_ms=2_000, max_body_bytes=100_000)
    if not isinstance(outcome, Response) or outcome.status != 200:
        raise RuntimeError(
            f"GET /echo/item failed: expected a response of status 200, got {outcome}"
        )
    latencies_ms.append((time.perf_counter() - began_s) * 1_000)


async def closed_loop(pool: BackendPool, in_flight: int, seconds: float) -> list[float]:
    """Keep ``in_flight`` calls in flight; return their latencies in milliseconds."""
    latencies_ms: list[float] = []
    end_s = time.perf_counter() + seconds

    async def worker() -> None:
        while time.perf_counter() < end_s:
            await _call_once(pool, latencies_ms)

    async with trio.open_nursery() as nursery:
        for _ in range(in_flight):
            nursery.start_soon(worker)
    return latencies_ms


async def open_loop(
    pool: BackendPool, calls_per_s: float, seconds: float
) -> list[float]:
    """Start ``calls_per_s`` calls a second; return their latencies in milliseconds."""
    latencies_ms: list[float] = []
    async with trio.open_nursery() as nursery:
        start_s = trio.current_time()
        for number in range(int(calls_per_s * seconds)):
            await trio.sleep_until(start_s + number / calls_per_s)
            nursery.start_soon(_call_once, pool, latencies_ms)
    return latencies_ms


def percentile(values: list[float], share: float) -> float:
    """Return the value below which the fraction ``share`` of ``values`` lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def _measure(
    ways: dict[str, str], nodes: dict[str, Process], seconds: float
) -> list[Figures]:
    rows = []
    network = tcp_network()
    loads: list[tuple[str, Any]] = [
        (f"{count} in flight", lambda pool, n=count: closed_loop(pool, n, seconds))
        for count in IN_FLIGHT
    ]
    loads.append(
        (
            f"{TARGET_CALLS_PER_S}/s",
            lambda pool: open_loop(pool, TARGET_CALLS_PER_S, seconds),
        )
    )
    for load, run in loads:
        for way, address in ways.items():
            pool = BackendPool(
                connect=network.connect, address=address, max_connections=64
            )
            await closed_loop(pool, 4, 0.3)
            before = {name: cpu_s(node) for name, node in nodes.items()}
            began_s = time.perf_counter()
            latencies_ms = await run(pool)
            elapsed_s = time.perf_counter() - began_s
            used = {name: cpu_s(node) - before[name] for name, node in nodes.items()}
            calls = len(latencies_ms)
            rows.append(
                Figures(
                    way,
                    load,
                    round(calls / elapsed_s, 1),
                    round(percentile(latencies_ms, 0.5), 3),
                    round(percentile(latencies_ms, 0.99), 3),
                    round(used["entry"] / calls * 1e6, 1),
                    round(used["target"] / calls * 1e6, 1),
                )
            )
            await pool.close()
    return rows


def _deploy(deployment: Deployment, entry: TargetPlan) -> dict[str, Process]:
    deployment.start()
    entry_node = deployment.start_node(entry, with_backend=False)
    entry_node.first_line()
    target_node = next(iter(deployment.running.values())).node
    return {"entry": entry_node, "target": target_node}


def _entry_plan() -> TargetPlan:
    return TargetPlan("entry-0", "", "zone-a", *free_ports(4))


def main() -> int:
    """Print the figures of every way under every load as CSV."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--sample", type=float, default=0.01)
    arguments = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        processes(Path(folder)) as children,
    ):
        plans = plan_targets(["echo"], ["zone-a"], 1)
        entry = _entry_plan()
        deployment = Deployment(
            processes=children,
            plans=plans,
            bundle=bundle(),
            options={"echo": {"slots": 64, "service_ms": 0.0}},
            sample=arguments.sample,
        )
        nodes = _deploy(deployment, entry)
        ways = {
            "direct": f"127.0.0.1:{plans[0].backend_port}",
            "two nodes": entry.entry,
        }
        rows = trio.run(_measure, ways, nodes, arguments.seconds)
    writer = csv.writer(sys.stdout)
    writer.writerow(Figures._fields)
    writer.writerows(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
