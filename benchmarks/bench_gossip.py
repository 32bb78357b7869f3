"""Cost of membership by fleet size, and the time until a change reaches all nodes.

Run it as ``python -m benchmarks.bench_gossip --out benchmarks/results/gossip.csv``.
"""

import argparse
import csv
import sys
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from statistics import median
from time import process_time
from typing import NamedTuple

from jacinthshed.internal.bundle.model import MembershipPolicy
from jacinthshed.internal.bundle.order import BundleOrder
from jacinthshed.internal.bundle.signing import generate_key
from jacinthshed.internal.bundle.store import OfferOutcome
from jacinthshed.internal.membership.link_health import LinkHealth
from jacinthshed.internal.membership.overlay import NEIGHBOUR_COUNT
from jacinthshed.internal.membership.view import View
from jacinthshed.internal.wire.codec import decode, encode
from jacinthshed.internal.wire.frames import Gossip, Heartbeat

from .gossip_fleet import (
    LENGTH_PREFIX_BYTES,
    PACKET_HEADER_BYTES,
    TICK_MS,
    Fleet,
    fleet_record,
)
from .target_bundle import new_store, signed_bundle

SIZES = (10, 50, 100, 300, 1_000)
QUIET_MS = 20_000.0
SPREAD_LIMIT_MS = 60_000.0
BUNDLE_DIGEST = b"d" * 32
IDLE_LINKS = (10, 40, 100)
IDLE_MS = 600_000
BUNDLES = 10
LEAVES = 12


class Row(NamedTuple):
    """One figure; ``loss`` is the share of frames that were lost."""

    measure: str
    members: int
    loss: float
    value: float
    unit: str


class Cost(NamedTuple):
    """Mean cost for each node of an action, in sent bytes and processor time."""

    payload_bytes: float
    wire_bytes: float
    cpu_us: float


def cost_of(fleet: Fleet, action: Callable[[], object]) -> Cost:
    """Run ``action`` and return its mean cost for each node."""
    size = len(fleet.members)
    bytes_before, frames_before = fleet.sent_bytes, fleet.sent_frames
    cpu_before_s = fleet.cpu_s
    action()
    payload = (fleet.sent_bytes - bytes_before) / size
    packets = (fleet.sent_frames - frames_before) / size * PACKET_HEADER_BYTES
    cpu_us = (fleet.cpu_s - cpu_before_s) / size * 1e6
    return Cost(payload, payload + packets, cpu_us)


def measure_quiet(size: int) -> list[Row]:
    """Return the cost of a second without membership or bundle changes."""
    fleet = Fleet(size)
    fleet.run(10_000)
    cost = cost_of(fleet, lambda: fleet.run(QUIET_MS))
    seconds = QUIET_MS / 1_000
    return [
        Row("quiet payload", size, 0.0, cost.payload_bytes / seconds, "B/s"),
        Row("quiet with headers", size, 0.0, cost.wire_bytes / seconds, "B/s"),
        Row("quiet cpu", size, 0.0, cost.cpu_us / seconds, "us/s"),
    ]


def measure_changes(size: int, loss: float) -> list[Row]:
    """Return the time and cost of a leave, a restart, a bundle and a lost zone."""
    fleet = Fleet(size, loss=loss)
    # Longer than the time for which a record counts as recently changed; at the start
    # all records do.
    fleet.run(35_000)
    rows = []
    for name, change in (
        ("leave", leave),
        ("restart", restart),
        ("bundle", roll_out),
        ("zone lost", lose_zone),
    ):
        rows += measure_change(fleet, name, loss, change)
        fleet.run(15_000)
    return rows


def measure_change(
    fleet: Fleet, name: str, loss: float, change: Callable[[Fleet], float]
) -> list[Row]:
    """Return how long ``change`` takes to reach all, and its cost beyond quiet time."""
    size = len(fleet.members)
    quiet = cost_of(fleet, lambda: fleet.run(10_000))
    start_ms = fleet.now_ms
    spread_ms = 0.0

    def run_change() -> None:
        nonlocal spread_ms
        spread_ms = change(fleet)
        fleet.run(max(0.0, start_ms + 20_000 - fleet.now_ms))

    cost = cost_of(fleet, run_change)
    spans = (fleet.now_ms - start_ms) / 10_000
    extra_bytes = cost.wire_bytes - spans * quiet.wire_bytes
    extra_cpu_us = cost.cpu_us - spans * quiet.cpu_us
    return [
        Row(f"{name}: known to all", size, loss, spread_ms, "ms"),
        Row(f"{name}: bytes beyond quiet", size, loss, extra_bytes, "B/node"),
        Row(f"{name}: cpu beyond quiet", size, loss, extra_cpu_us, "us/node"),
    ]


def measure_leaves(size: int, loss: float) -> list[Row]:
    """Return the median and longest time until all know of a leave.

    Up to ``LEAVES`` hosts leave, one after the other.
    """
    fleet = Fleet(size, loss=loss)
    fleet.run(35_000)
    spreads_ms = []
    for host in sorted(fleet.members)[1 :: max(1, size // LEAVES)][:LEAVES]:
        spreads_ms.append(leave(fleet, host))
        fleet.run(5_000)
    name = f"leave: known to all, {len(spreads_ms)} leaves,"
    return [
        Row(f"{name} median", size, loss, median(spreads_ms), "ms"),
        Row(f"{name} worst", size, loss, max(spreads_ms), "ms"),
    ]


def leave(fleet: Fleet, host: str = "") -> float:
    """Let one host leave, announced by gossip only; return the time until all know.

    An empty ``host`` stands for the second one in order of name.
    """
    host = host or sorted(fleet.members)[1]
    member = fleet.members[host]
    record = member.view.leave(fleet.now_ms)
    fleet.send(host, member.gossiper.announce(fleet.now_ms, [record]))
    return fleet.run_until(lambda m: not m.view.is_routable(host), SPREAD_LIMIT_MS)


def restart(fleet: Fleet) -> float:
    """Restart the host that left, knowing a few hosts; return the time until it joined.

    It has joined when it knows all other hosts and they know its new incarnation.
    """
    host = sorted(fleet.members)[1]
    member = fleet.restart(host)
    incarnation = member.view.self_record.incarnation
    others = len(fleet.members) - 1

    def knows(other: object) -> bool:
        if other is member:
            return len(member.view.hosts()) == others
        record = other.view.get(host)  # type: ignore[attr-defined]
        return bool(record.incarnation == incarnation)

    return fleet.run_until(knows, SPREAD_LIMIT_MS)


def roll_out(fleet: Fleet) -> float:
    """Put a bundle in force at one node; return the time until all have it."""
    order = BundleOrder(2, BUNDLE_DIGEST)
    first = fleet.members[sorted(fleet.members)[0]]
    first.order = order
    first.document = signed_bundle(2, generate_key())
    return fleet.run_until(lambda m: m.order == order, SPREAD_LIMIT_MS)


def lose_zone(fleet: Fleet) -> float:
    """Remove the hosts of one zone, an eighth of all; two nodes declare them gone.

    Return the time until no host of the zone is routable at any remaining node.
    """
    zone = fleet.members[sorted(fleet.members)[-1]].view.self_record.availability_zone
    lost = [
        h
        for h, m in fleet.members.items()
        if m.view.self_record.availability_zone == zone
    ]
    for host in lost:
        del fleet.members[host]
    for detector in sorted(fleet.members)[:2]:
        member = fleet.members[detector]
        changed = [
            record
            for host in lost
            for record in member.view.declare_gone(fleet.now_ms, host)
        ]
        fleet.send(detector, member.gossiper.announce(fleet.now_ms, changed))
    return fleet.run_until(
        lambda m: not any(m.view.is_routable(host) for host in lost), SPREAD_LIMIT_MS
    )


def measure_memory(size: int) -> list[Row]:
    """Return the memory of a view for each member, and its size in one frame."""
    records = tuple(fleet_record(number) for number in range(size))
    payload = encode(Gossip(0, records, False, 0, b"", ()))
    tracemalloc.start()
    view = View(self_record=fleet_record(0))
    frame = decode(payload[LENGTH_PREFIX_BYTES:])
    assert isinstance(frame, Gossip)
    view.merge(0.0, frame.records)
    for service in view.services():
        view.members(service)
    view.hosts()
    del frame
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        Row("memory", size, 0.0, held_bytes / size, "B/member"),
        Row("whole view on the wire", size, 0.0, float(len(payload)), "B"),
    ]


def measure_idle_links(links: int, *, carries_gossip: bool) -> list[Row]:
    """Return the cost of idle links: heartbeats both ways with headers, and ticks.

    Links to gossip neighbours have more heartbeats; ``carries_gossip`` stands for them.
    """
    policy = MembershipPolicy()
    health = [LinkHealth(now_ms=0.0, policy=policy) for _ in range(links)]
    frames = 0
    started_s = process_time()
    for now_ms in range(0, IDLE_MS, int(TICK_MS)):
        for link in health:
            if not link.is_silent(now_ms) and link.is_heartbeat_due(
                now_ms, carries_gossip=carries_gossip
            ):
                frames += 2
                link.heartbeat_sent(now_ms)
                link.frame_received(now_ms)
    spent_us = (process_time() - started_s) * 1e6
    size = len(encode(Heartbeat(1_000_000, True))) + PACKET_HEADER_BYTES
    seconds = IDLE_MS / 1_000
    name = "links of neighbours" if carries_gossip else "idle links"
    return [
        Row(name, links, 0.0, frames * size / seconds, "B/s"),
        Row(f"{name} cpu", links, 0.0, spent_us / seconds, "us/s"),
    ]


def measure_bundle() -> list[Row]:
    """Return the size of a bundle, and the time to verify it and put it in force."""
    key = generate_key()
    documents = [signed_bundle(version, key) for version in range(1, 1 + BUNDLES)]
    store = new_store(key)
    started_s = process_time()
    for document in documents:
        assert store.offer(document, "benchmark").outcome is OfferOutcome.ACCEPTED
    spent_us = (process_time() - started_s) / BUNDLES * 1e6
    return [
        Row("bundle document", 0, 0.0, float(len(documents[0])), "B"),
        Row("bundle check", 0, 0.0, spent_us, "us"),
    ]


def main() -> None:
    """Write all figures as CSV, and print them to standard error as they are taken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    arguments = parser.parse_args()
    rows = [
        row
        for links in IDLE_LINKS
        for row in measure_idle_links(links, carries_gossip=False)
    ]
    rows += measure_idle_links(NEIGHBOUR_COUNT, carries_gossip=True)
    rows += measure_bundle()
    for size in arguments.sizes:
        rows += measure_memory(size)
        rows += measure_quiet(size)
        for loss in (0.01, 0.1):
            rows += measure_changes(size, loss)
            rows += measure_leaves(size, loss)
        for row in rows:
            if row.members == size:
                print(*row, sep=",", file=sys.stderr)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    with arguments.out.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(Row._fields)
        writer.writerows(row._replace(value=round(row.value, 1)) for row in rows)


if __name__ == "__main__":
    main()
