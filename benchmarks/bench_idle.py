"""Processor time, memory and sockets of an idle node, by size of the deployment.

Run it as ``python -m benchmarks.bench_idle --out benchmarks/results/idle.csv``.
"""

import argparse
import csv
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from .deployment import Deployment, plan_targets
from .processes import Process, processes

SIZES = (2, 8, 20)
ZONES = ["zone-a", "zone-b"]
SERVICE = "ledger"
SETTLE_S = 8
MEASURE_S = 20
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Row(NamedTuple):
    """The mean over all nodes of one deployment."""

    nodes: int
    cpu_percent: float
    resident_mb: float
    sockets: float


def bundle() -> dict[str, Any]:
    """Return a bundle of one service with one idempotent route."""
    route = {"service": SERVICE, "rank": 5, "idempotent": True, "deadline_ms": 2_000}
    return {
        "deployment": "idle",
        "version": 1,
        "availability_zones": ZONES,
        "services": {SERVICE: {"slots": 10, "connections": 50}},
        "routes": {"lookup": route},
    }


def cpu_s(process: Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{process.child.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(process: Process) -> int:
    """Return the resident memory of a process."""
    text = Path(f"/proc/{process.child.pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


def open_sockets(process: Process) -> int:
    """Return the number of sockets that a process has open, listeners included."""
    folder = Path(f"/proc/{process.child.pid}/fd")
    links = [os.readlink(entry) for entry in folder.iterdir()]
    return sum(link.startswith("socket:") for link in links)


def measure(size: int) -> Row:
    """Start a deployment, send it no calls, and return the cost of its nodes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes(Path(folder)) as children,
    ):
        plans = plan_targets([SERVICE], ZONES, size)
        deployment = Deployment(processes=children, plans=plans, bundle=bundle())
        deployment.start()
        nodes = [target.node for target in deployment.running.values()]
        time.sleep(SETTLE_S)
        before_s = sum(map(cpu_s, nodes))
        time.sleep(MEASURE_S)
        used_s = sum(map(cpu_s, nodes)) - before_s
        mean_resident_bytes = sum(map(resident_bytes, nodes)) / size
        mean_sockets = sum(map(open_sockets, nodes)) / size
    percent = 100 * used_s / MEASURE_S / size
    return Row(
        size,
        round(percent, 2),
        round(mean_resident_bytes / 1e6, 1),
        round(mean_sockets, 1),
    )


def main() -> None:
    """Write one row for each size of deployment as CSV."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    arguments = parser.parse_args()
    rows = []
    for size in SIZES:
        rows.append(measure(size))
        print(rows[-1], file=sys.stderr)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    with arguments.out.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Row._fields)
        writer.writerows(rows)


if __name__ == "__main__":
    main()
