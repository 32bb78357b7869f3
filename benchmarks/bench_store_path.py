"""Processor time of a call through two nodes that read the platform's store.

``python -m benchmarks.bench_store_path [--seconds 10] [--calls-per-s 300]`` starts two
nodes as processes, and a stand-in store and two stand-in targets in its own process. A
loopback address stands for each host. It sends lookups to the node of one host, for the
target of the other, and prints the processor time of a call at each node, the processor
time to start, and the peak memory.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import trio
import yaml

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.standin.pinned_target import PinnedTarget
from jacinthshed.internal.standin.store import serve_store
from jacinthshed.internal.standin.store_state import StoreState

from .deployment import free_ports

ENTRY_IP, TARGET_IP = "127.0.0.1", "127.0.0.2"
SERVICE_OF_IP = {ENTRY_IP: "front", TARGET_IP: "back"}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TARGET_WORK_MS = 20.0
SETTLE_S = 4.0


class Ports(NamedTuple):
    """The ports of entry, peer and target, the same on both hosts, and of the store."""

    entry: int
    peer: int
    target: int
    store: int


def settings(ip: str, ports: Ports) -> str:
    """Return the settings file of the node at ``ip``."""
    document = {
        "host": ip,
        "availability_zone": "zone-a",
        "service": SERVICE_OF_IP[ip],
        "listen": {"entry": f"{ip}:{ports.entry}", "peer": f"{ip}:{ports.peer}"},
        "backend": {"address": f"{ip}:{ports.target}", "health_path": None},
        "store": {"address": f"{ENTRY_IP}:{ports.store}"},
        "logs": {"format": "json", "output": "stdout", "sample": 0.01},
    }
    return yaml.safe_dump(document)


def store_policy_and_targets(state: StoreState, ports: Ports) -> None:
    """Store the policy of one route and the entries of the two targets."""
    route = {
        "name": "lookup",
        "host": "shop.example",
        "prefix": "/lookup/",
        "kind": "idempotent",
        "timeout_s": 2,
        "max_attempts": 2,
        "service": "back",
    }
    services = [{"name": name, "max_conns": 400} for name in SERVICE_OF_IP.values()]
    document = {"version": 1, "routes": [route], "services": services, "limits": {}}
    state.put("op/config", json.dumps(document).encode())
    for ip, service in SERVICE_OF_IP.items():
        entry = {
            "service": service,
            "address": f"{ip}:{ports.target}",
            "zone": "zone-a",
            "slots": 60,
            "state": "ready",
        }
        state.put(f"servers/t-{ip}", json.dumps(entry).encode())


def start_node(ip: str, ports: Ports, folder: Path) -> subprocess.Popen[bytes]:
    """Start the node of ``ip``."""
    path = folder / f"{ip}.yaml"
    path.write_text(settings(ip, ports))
    return subprocess.Popen(
        [sys.executable, "-m", "jacinthshed.internal.node"],
        stdout=(folder / f"{ip}.log").open("wb"),
        env={**os.environ, "JACINTHSHED_CONFIG": str(path)},
    )


def cpu_s(pid: int) -> float:
    """Return the processor time that ``pid`` has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def peak_mb(pid: int) -> float:
    """Return the peak resident memory of ``pid`` in MiB; 0 if it isn't known."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1_024
    return 0.0


async def send_lookups(ports: Ports, seconds: float, calls_per_s: float) -> list[float]:
    """Send lookups at an even rate; return the latencies of those answered, in ms."""
    pool = BackendPool(
        connect=tcp_network().connect,
        address=f"{ENTRY_IP}:{ports.entry}",
        max_connections=64,
    )
    latencies_ms: list[float] = []

    async def send(number: int) -> None:
        headers = (
            (b"host", b"shop.example"),
            (b"attempt-id", f"{number:016x}".encode()),
            (b"deadline-ms", b"2000"),
        )
        began_s = trio.current_time()
        outcome = await pool.request(
            Request(b"GET", b"/lookup/7", headers),
            timeout_ms=3_000,
            max_body_bytes=100_000,
        )
        if isinstance(outcome, Response) and outcome.status == 200:
            latencies_ms.append((trio.current_time() - began_s) * 1_000)

    began_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * calls_per_s)):
            await trio.sleep_until(began_s + number / calls_per_s)
            nursery.start_soon(send, number)
    return latencies_ms


async def measure(seconds: float, calls_per_s: float, folder: Path) -> None:
    """Start the nodes, send the calls and print the figures."""
    ports = Ports(*free_ports(4))
    state = StoreState()
    store_policy_and_targets(state, ports)
    network = tcp_network()
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_store, state, network, f"{ENTRY_IP}:{ports.store}")
        for ip in SERVICE_OF_IP:
            target = PinnedTarget(target_id=f"t-{ip}", work_ms=TARGET_WORK_MS)
            await nursery.start(target.serve, network, f"{ip}:{ports.target}")
        nodes = {ip: start_node(ip, ports, folder) for ip in SERVICE_OF_IP}
        try:
            await trio.sleep(SETTLE_S)
            start_cpu_s = {ip: cpu_s(node.pid) for ip, node in nodes.items()}
            await send_lookups(ports, 1.0, calls_per_s)
            before_s = {ip: cpu_s(node.pid) for ip, node in nodes.items()}
            latencies_ms = sorted(await send_lookups(ports, seconds, calls_per_s))
            calls = max(1, len(latencies_ms))
            print(f"calls answered {calls} of {int(seconds * calls_per_s)}")
            added_ms = [
                latencies_ms[int(calls * share)] - TARGET_WORK_MS
                for share in (0.5, 0.99)
            ]
            print(f"time added p50 {added_ms[0]:.2f} ms, p99 {added_ms[1]:.2f} ms")
            for ip, node in nodes.items():
                used_us = (cpu_s(node.pid) - before_s[ip]) / calls * 1e6
                print(
                    f"{SERVICE_OF_IP[ip]:<6} {used_us:6.0f} us a call,"
                    f" {start_cpu_s[ip]:.2f} s to start and settle,"
                    f" peak {peak_mb(node.pid):.1f} MB"
                )
        finally:
            for node in nodes.values():
                node.terminate()
            for node in nodes.values():
                await trio.to_thread.run_sync(node.wait)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Print the time of imports, then the figures of the calls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--calls-per-s", type=float, default=300.0)
    options = parser.parse_args()
    began_s = time.perf_counter()
    subprocess.run(
        [sys.executable, "-c", "import jacinthshed.internal.node.daemon"], check=True
    )
    print(f"python and imports {time.perf_counter() - began_s:.2f} s")
    with tempfile.TemporaryDirectory() as folder:
        trio.run(measure, options.seconds, options.calls_per_s, Path(folder))


if __name__ == "__main__":
    main()
