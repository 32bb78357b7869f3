"""Gossip between availability zones, with neighbours in any zone and in the own one.

Run it as ``python -m benchmarks.bench_zone_gossip``; it prints a Markdown table. The
nodes are in three zones, and their links for calls stay in their zone. The table has
the rounds until all nodes know of a change, median and worst, and what crosses zones
until then (median) and in calm.
"""

import argparse
from statistics import median
from typing import NamedTuple

from .bench_gossip import SPREAD_LIMIT_MS, leave, lose_zone
from .gossip_fleet import DEFAULT_GOSSIP_INTERVAL_MS, Fleet

SIZES = (12, 90, 300, 990)
ZONES = ("region-a-zone-0", "region-a-zone-1", "region-a-zone-2")
# With 12 leaves, the median at 300 nodes depended on chance: whether the last nodes
# learn of a leave at once or in a later round.
LEAVES = 40
ZONE_LOSSES = 5
# Longer than the time for which a record counts as recently changed; at the start all
# records do.
SETTLE_MS = 35_000.0
PAUSE_MS = 5_000.0
CALM_MS = 20_000.0


class HopFleet(Fleet):
    """A fleet that records how many hops a leave has taken to each member.

    ``hops`` has the members that know of the leave of ``leaving``.
    """

    def __init__(self, size: int, *, loss: float, neighbours: str) -> None:
        super().__init__(size, loss=loss, zones=ZONES, neighbours=neighbours)
        self.leaving = ""
        self.hops: dict[str, int] = {}

    def _deliver(self, sender: str, target: str, payload: bytes) -> None:
        super()._deliver(sender, target, payload)
        if (
            self.leaving
            and target not in self.hops
            and not self.members[target].view.is_routable(self.leaving)
        ):
            self.hops[target] = self.hops[sender] + 1


class Spread(NamedTuple):
    """How one leave became known to all, and what crossed zones until then."""

    elapsed_ms: float
    hops: int
    frames: int
    payload_bytes: int


class Calm(NamedTuple):
    """What crosses zones in a second without changes, and neighbours of one node."""

    frames_per_s: float
    payload_bytes_per_s: float
    other_zone_neighbours: float


def measure_leave(fleet: HopFleet, host: str) -> Spread:
    """Let ``host`` leave; return how all others learned of it."""
    fleet.leaving, fleet.hops = host, {host: 0}
    frames, payload_bytes = fleet.other_zone_frames, fleet.other_zone_bytes
    elapsed_ms = leave(fleet, host)
    if elapsed_ms > SPREAD_LIMIT_MS:
        raise RuntimeError(f"the leave of {host} wasn't known within the limit")
    fleet.leaving = ""
    return Spread(
        elapsed_ms,
        max(fleet.hops.values()),
        fleet.other_zone_frames - frames,
        fleet.other_zone_bytes - payload_bytes,
    )


def measure_calm(fleet: HopFleet) -> Calm:
    """Return the traffic between zones without changes."""
    frames, payload_bytes = fleet.other_zone_frames, fleet.other_zone_bytes
    fleet.run(CALM_MS)
    seconds = CALM_MS / 1_000
    elsewhere = sum(
        fleet.zone_of[host] != fleet.zone_of[other]
        for host, member in fleet.members.items()
        for other in member.gossiper.neighbours()
    )
    return Calm(
        (fleet.other_zone_frames - frames) / seconds,
        (fleet.other_zone_bytes - payload_bytes) / seconds,
        elsewhere / len(fleet.members),
    )


class Figures(NamedTuple):
    """The figures of one size of fleet."""

    spreads: list[Spread]
    calm: Calm
    lost_zones_ms: list[float]


def measure(size: int, loss: float, neighbours: str) -> Figures:
    """Return the figures of a fleet in which up to ``LEAVES`` hosts leave."""
    fleet = HopFleet(size, loss=loss, neighbours=neighbours)
    fleet.run(SETTLE_MS)
    calm = measure_calm(fleet)
    hosts = sorted(fleet.members)[1 :: max(1, size // LEAVES)][:LEAVES]
    spreads = []
    for host in hosts:
        spreads.append(measure_leave(fleet, host))
        fleet.run(PAUSE_MS)
    lost_zones = [
        measure_lost_zone(size, loss, neighbours, n) for n in range(ZONE_LOSSES)
    ]
    return Figures(spreads, calm, lost_zones)


def measure_lost_zone(size: int, loss: float, neighbours: str, number: int) -> float:
    """Return the time until all know that the hosts of one zone are gone.

    ``number`` varies the time of the loss, and so the random numbers.
    """
    fleet = HopFleet(size, loss=loss, neighbours=neighbours)
    fleet.run(SETTLE_MS + number * CALM_MS / ZONE_LOSSES)
    return lose_zone(fleet)


def table_row(size: int, neighbours: str, figures: Figures) -> str:
    """Return one line of the table."""
    spreads, calm, lost_zones_ms = figures
    rounds = [spread.elapsed_ms / DEFAULT_GOSSIP_INTERVAL_MS for spread in spreads]
    lost = [elapsed_ms / DEFAULT_GOSSIP_INTERVAL_MS for elapsed_ms in lost_zones_ms]
    hops = [spread.hops for spread in spreads]
    frames = median(spread.frames for spread in spreads)
    kilobytes = median(spread.payload_bytes for spread in spreads) / 1_000
    cells = (
        f"{size}",
        f"`{neighbours}`",
        f"{median(rounds):.1f}; {max(rounds):.1f}",
        f"{median(hops):.0f}; {max(hops)}",
        f"{median(lost):.1f}; {max(lost):.1f}",
        f"{frames:,.0f}",
        f"{kilobytes:,.1f}",
        f"{calm.frames_per_s:,.1f}",
        f"{calm.payload_bytes_per_s / 1_000:,.2f}",
        f"{calm.other_zone_neighbours:.2f}",
    )
    return f"| {' | '.join(cells)} |"


def main() -> None:
    """Print the table, a row as soon as it is measured."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--loss", type=float, default=0.01)
    arguments = parser.parse_args()
    print(
        "| nodes | neighbours | rounds for a leave | hops | rounds for a lost zone"
        " | frames for a leave | kB for a leave | frames/s in calm | kB/s in calm"
        " | neighbours in other zones |"
    )
    print("|--:|---|--:|--:|--:|--:|--:|--:|--:|--:|")
    for size in arguments.sizes:
        for neighbours in ("any", "own-zone"):
            figures = measure(size, arguments.loss, neighbours)
            print(table_row(size, neighbours, figures), flush=True)


if __name__ == "__main__":
    main()
