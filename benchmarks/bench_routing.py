"""Time to pick a target, and how evenly links and work are spread, by fleet size.

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
LARGE_SERVICE_TARGETS = 400
PICKS = 50_000
IN_FLIGHT = 20
SERVICE = "service-00"
PICK_INTERVAL_MS = 0.05


class Row(NamedTuple):
    """One figure.

    ``fleet`` is the number of nodes, or of callers for links and work; ``targets`` is
    the number of targets of the called service, and ``subset`` how many a node uses.
    """

    measure: str
    fleet: int
    targets: int
    subset: int
    value: float
    unit: str


def targets_of(fleet: int) -> list[MemberRecord]:
    """Return the targets of one service in a fleet of ``fleet`` nodes.

    They are spread over all availability zones.
    """
    services = min(SERVICES, max(1, fleet // len(ZONES)))
    count = max(1, round(fleet / services))
    return service_records(count)


def service_records(count: int) -> list[MemberRecord]:
    """Return ``count`` records of one service, spread over all availability zones."""
    return [
        fleet_record(number)._replace(
            service=SERVICE, availability_zone=ZONES[number % len(ZONES)]
        )
        for number in range(count)
    ]


def new_picker(host: str, targets: list[MemberRecord], subset_size: int) -> Picker:
    """Return the picker of the node of ``host`` in the first availability zone."""
    picker = Picker(
        host=host,
        availability_zone=ZONES[0],
        policy=RoutingPolicy(subset=subset_size),
        random=Random(host),
    )
    chosen = subset(host, ZONES[0], targets, subset_size)
    picker.set_members(0.0, SERVICE, (*chosen.local, *chosen.spill))
    return picker


def measure_pick(fleet: int, subset_size: int, load: float) -> Row:
    """Return the time to pick a target and record its call and reply.

    Each reply carries ``load``. If that leaves no headroom, a pick also considers the
    targets of other zones.
    """
    targets = targets_of(fleet)
    picker = new_picker("caller-0", targets, subset_size)
    running: deque[str] = deque()
    started_s = process_time()
    for number in range(PICKS):
        now_ms = number * PICK_INTERVAL_MS
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
    return Row(name, fleet, len(targets), subset_size, spent_us, "us")


def measure_subset(fleet: int, subset_size: int) -> Row:
    """Return the time to recompute the subset after a membership change."""
    targets = targets_of(fleet)
    started_s = perf_counter()
    for number in range(100):
        subset(f"caller-{number}", ZONES[0], targets, subset_size)
    spent_us = (perf_counter() - started_s) / 100 * 1e6
    return Row("subset", fleet, len(targets), subset_size, spent_us, "us")


def measure_links(callers: int, count: int, subset_size: int) -> list[Row]:
    """Return how unevenly the callers of one zone choose the targets of that zone.

    The figures are the links of the target with the most links, and of the one with
    the fewest, over an even share.
    """
    targets = service_records(count)
    links: Counter[str] = Counter()
    for number in range(callers):
        chosen = subset(f"caller-{number}", ZONES[0], targets, subset_size)
        links.update(record.host for record in chosen.local)
    local = sum(1 for t in targets if t.availability_zone == ZONES[0])
    even_share = callers * min(subset_size, local) / local
    most = max(links.values()) / even_share
    least = min(links.values()) / even_share if len(links) == local else 0.0
    return [
        Row("links, most over fair", callers, count, subset_size, most, "ratio"),
        Row("links, least over fair", callers, count, subset_size, least, "ratio"),
    ]


def measure_load(callers: int, count: int, subset_size: int) -> Row:
    """Return the calls in flight at the busiest target over the mean of all.

    Each caller keeps two requests in flight. They end in the order they were sent, and
    each reply carries the target's load at its end, so callers use outdated loads.
    """
    targets = service_records(count)
    pickers = [new_picker(f"caller-{n}", targets, subset_size) for n in range(callers)]
    local = [t.host for t in targets if t.availability_zone == ZONES[0]]
    calls_in_flight: Counter[str] = Counter()
    running: deque[tuple[Picker, str]] = deque()
    in_flight = 2 * callers
    limit = 2 * in_flight / len(local)
    peak_ratios = []
    for number in range(40 * callers):
        now_ms = number * PICK_INTERVAL_MS
        picker = pickers[number % callers]
        pick = picker.pick(now_ms, SERVICE)
        assert pick is not None
        picker.sent(pick.host)
        calls_in_flight[pick.host] += 1
        running.append((picker, pick.host))
        if len(running) > in_flight:
            ended, host = running.popleft()
            calls_in_flight[host] -= 1
            ended.done(host)
            ended.record_reply(now_ms, host, calls_in_flight[host] / limit)
            peak_ratios.append(max(calls_in_flight.values()) / (in_flight / len(local)))
    settled = peak_ratios[len(peak_ratios) // 2 :]
    mean = sum(settled) / len(settled)
    return Row("work, most over mean", callers, count, subset_size, mean, "ratio")


def all_rows() -> list[Row]:
    """Return the figures of all measures and sizes."""
    rows = []
    for fleet in FLEETS:
        rows += [measure_pick(fleet, subset_size, 0.5) for subset_size in SUBSETS]
        rows += [measure_pick(fleet, subset_size, 0.95) for subset_size in SUBSETS]
        rows.append(measure_subset(fleet, 6))
    for subset_size in SUBSETS:
        rows += measure_links(124, 27, subset_size)
        rows += measure_links(124, LARGE_SERVICE_TARGETS, subset_size)
        rows.append(measure_load(124, 27, subset_size))
        rows.append(measure_load(124, LARGE_SERVICE_TARGETS, subset_size))
    return rows


def main() -> None:
    """Write all figures as CSV, and print them to standard error."""
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
