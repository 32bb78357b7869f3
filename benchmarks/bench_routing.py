"""Time of a pick, and how evenly links and work are spread, by fleet size.

Run it as ``python -m benchmarks.bench_routing --out benchmarks/results/routing.csv``.
"""

import argparse
import csv
import sys
from collections import Counter, deque
from pathlib import Path
from random import Random
from time import perf_counter, process_time
from typing import NamedTuple

from jacinthshed.internal.bundle.model import RoutingPolicy
from jacinthshed.internal.routing.picker import Picker
from jacinthshed.internal.routing.subset import subset
from jacinthshed.internal.wire.frames import MemberRecord

from .gossip_fleet import SERVICES, ZONES, fleet_record

FLEETS = (10, 50, 100, 300, 990)
SUBSETS = (3, 6, 12)
BIG_SERVICE = 400
PICKS = 50_000
IN_FLIGHT = 20
SERVICE = "service-00"
STEP_MS = 0.05


class Row(NamedTuple):
    """One figure; ``targets`` is the size of the called service."""

    measure: str
    fleet: int
    targets: int
    subset: int
    value: float
    unit: str


def targets_of(fleet: int) -> list[MemberRecord]:
    """Return the targets of one service in a fleet, over all availability zones."""
    services = min(SERVICES, max(1, fleet // len(ZONES)))
    count = max(1, round(fleet / services))
    return service_records(count)


def service_records(count: int) -> list[MemberRecord]:
    """Return records of one service, in all availability zones."""
    return [
        fleet_record(number)._replace(
            service=SERVICE, availability_zone=ZONES[number % len(ZONES)]
        )
        for number in range(count)
    ]


def new_picker(host: str, targets: list[MemberRecord], size: int) -> Picker:
    """Return the picker of one node in the first availability zone."""
    picker = Picker(
        host=host,
        availability_zone=ZONES[0],
        policy=RoutingPolicy(subset=size),
        random=Random(host),
    )
    chosen = subset(host, ZONES[0], targets, size)
    picker.set_members(0.0, SERVICE, (*chosen.local, *chosen.spill))
    return picker


def measure_pick(fleet: int, size: int, load: float) -> Row:
    """Return the time of a pick with its bookkeeping.

    Replies carry ``load``; without headroom a pick looks at other zones as well.
    """
    targets = targets_of(fleet)
    picker = new_picker("caller-0", targets, size)
    running: deque[str] = deque()
    started_s = process_time()
    for number in range(PICKS):
        now_ms = number * STEP_MS
        pick = picker.pick(now_ms, SERVICE)
        assert pick is not None
        picker.sent(pick.host)
        running.append(pick.host)
        if len(running) > IN_FLIGHT:
            host = running.popleft()
            picker.done(host)
            picker.record_reply(now_ms, host, load)
    spent_us = (process_time() - started_s) / PICKS * 1e6
    name = "pick" if load < 0.9 else "pick without headroom"
    return Row(name, fleet, len(targets), size, spent_us, "us")


def measure_subset(fleet: int, size: int) -> Row:
    """Return the time to choose the subset again after a change."""
    targets = targets_of(fleet)
    started_s = perf_counter()
    for number in range(100):
        subset(f"caller-{number}", ZONES[0], targets, size)
    spent_us = (perf_counter() - started_s) / 100 * 1e6
    return Row("subset", fleet, len(targets), size, spent_us, "us")


def measure_links(callers: int, count: int, size: int) -> list[Row]:
    """Return how unevenly callers of one zone choose the targets there."""
    targets = service_records(count)
    links: Counter[str] = Counter()
    for number in range(callers):
        chosen = subset(f"caller-{number}", ZONES[0], targets, size)
        links.update(record.host for record in chosen.local)
    local = sum(1 for t in targets if t.availability_zone == ZONES[0])
    fair = callers * min(size, local) / local
    most = max(links.values()) / fair
    least = min(links.values()) / fair if len(links) == local else 0.0
    return [
        Row("links, most over fair", callers, count, size, most, "ratio"),
        Row("links, least over fair", callers, count, size, least, "ratio"),
    ]


def measure_load(callers: int, count: int, size: int) -> Row:
    """Return the most loaded target's work over the mean.

    Each caller keeps some requests in flight. They end in order, and each reply tells
    the target's load at that moment, so what callers know is late.
    """
    targets = service_records(count)
    pickers = [new_picker(f"caller-{n}", targets, size) for n in range(callers)]
    local = [t.host for t in targets if t.availability_zone == ZONES[0]]
    work: Counter[str] = Counter()
    running: deque[tuple[Picker, str]] = deque()
    in_flight = 2 * callers
    limit = 2 * in_flight / len(local)
    peaks = []
    for number in range(40 * callers):
        now_ms = number * STEP_MS
        picker = pickers[number % callers]
        pick = picker.pick(now_ms, SERVICE)
        assert pick is not None
        picker.sent(pick.host)
        work[pick.host] += 1
        running.append((picker, pick.host))
        if len(running) > in_flight:
            ended, host = running.popleft()
            work[host] -= 1
            ended.done(host)
            ended.record_reply(now_ms, host, work[host] / limit)
            peaks.append(max(work.values()) / (in_flight / len(local)))
    settled = peaks[len(peaks) // 2 :]
    mean = sum(settled) / len(settled)
    return Row("work, most over mean", callers, count, size, mean, "ratio")


def all_rows() -> list[Row]:
    """Return all figures."""
    rows = []
    for fleet in FLEETS:
        rows += [measure_pick(fleet, size, 0.5) for size in SUBSETS]
        rows += [measure_pick(fleet, size, 0.95) for size in SUBSETS]
        rows.append(measure_subset(fleet, 6))
    for size in SUBSETS:
        rows += measure_links(124, 27, size)
        rows += measure_links(124, BIG_SERVICE, size)
        rows.append(measure_load(124, 27, size))
        rows.append(measure_load(124, BIG_SERVICE, size))
    return rows


def main() -> None:
    """Write all figures as CSV and to standard error."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    arguments = parser.parse_args()
    rows = [row._replace(value=round(row.value, 2)) for row in all_rows()]
    for row in rows:
        print(*row, sep=",", file=sys.stderr)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    with arguments.out.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Row._fields)
        writer.writerows(rows)


if __name__ == "__main__":
    main()
