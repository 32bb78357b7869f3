"""Reads per second at the platform by a fleet of nodes, in virtual time.

Drives the reading decisions of 990 nodes by themselves: no sockets, no processes, the
same seed every time. Between the nodes only the age of the platform's last answer is
passed on, once a second to two random peers that are in reach.

Run it from the root of the project::

    python benchmarks/bench_readers.py --csv readers.csv
"""

import argparse
import csv
import heapq
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

from jacinthshed.internal.bundle.model import ReaderPolicy
from jacinthshed.internal.bundle.read_scheduler import ReadAction, ReadScheduler

NODES = 990
ZONES = 4
KEYS = ("bundle", "hosts")
SEED = 11
LIMIT_PER_S = 2_000
GOSSIP_MS = 1_000.0
GOSSIP_PEERS = 2
LINK_MS = 5.0
ANSWER_MS = 3.0
HOUR_MS = 3_600_000.0


class Node(NamedTuple):
    """One node of the fleet."""

    zone: int
    reader: ReadScheduler


class Case(NamedTuple):
    """One course of events.

    ``up`` says whether the platform answers a zone at a time, ``linked`` whether two
    zones reach each other. The worst second is looked for from ``from_ms`` on, so that
    the start of the fleet doesn't hide a later event. ``alone`` makes each node know no
    other one.
    """

    name: str
    until_ms: float
    up: Callable[[float, int], bool] = lambda now_ms, zone: True
    linked: Callable[[float, int, int], bool] = lambda now_ms, a, b: True
    alone: bool = False
    from_ms: float = 0.0


class Measured(NamedTuple):
    """What the platform saw: calls in the worst second, and on the whole."""

    peak_per_s: int
    answered_peak_per_s: int
    calls: int
    answered: int


def worst_second(counts: Counter[int], from_ms: float) -> int:
    """Return the largest count of a second from ``from_ms`` on."""
    later = (count for second, count in counts.items() if second * 1_000 >= from_ms)
    return max(later, default=0)


def build_fleet(case: Case, random: Random) -> list[Node]:
    """Return the nodes of the fleet, all of them just started."""
    zones = [index % ZONES for index in range(NODES)]
    nodes = []
    for index, zone in enumerate(zones):
        reader = ReadScheduler(
            host=f"host-{index}",
            availability_zone=f"zone-{zone}",
            policy=ReaderPolicy(),
            keys=KEYS,
            random=Random(random.random()),
            now_ms=0.0,
        )
        if not case.alone:
            for other, other_zone in enumerate(zones):
                reader.member_up(0.0, f"host-{other}", f"zone-{other_zone}")
        nodes.append(Node(zone, reader))
    return nodes


class Run:
    """One case in virtual time: a heap of events and counters."""

    def __init__(self, *, case: Case, seed: int) -> None:
        self.case = case
        self.random = Random(seed)
        self.nodes = build_fleet(case, self.random)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = 0
        self.calls: Counter[int] = Counter()
        self.answered: Counter[int] = Counter()

    def at(self, when_ms: float, act: Callable[[float], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (when_ms, self.sequence, act))

    def measure(self) -> Measured:
        for node in self.nodes:
            for key in KEYS:
                self.at(0.0, self.turn_of(node, key))
            self.at(self.random.random() * GOSSIP_MS, self.gossip_of(node))
        while self.events and self.events[0][0] < self.case.until_ms:
            now_ms, _, act = heapq.heappop(self.events)
            act(now_ms)
        return Measured(
            worst_second(self.calls, self.case.from_ms),
            worst_second(self.answered, self.case.from_ms),
            sum(self.calls.values()),
            sum(self.answered.values()),
        )

    def turn_of(self, node: Node, key: str) -> Callable[[float], None]:
        def turn(now_ms: float) -> None:
            decided = node.reader.decide(now_ms, key)
            if decided.action is ReadAction.WAIT:
                self.at(now_ms + decided.wait_ms, turn)
                return
            second = int(now_ms // 1_000)
            self.calls[second] += 1
            up = self.case.up(now_ms, node.zone)
            self.answered[second] += up
            waits = up and decided.action is ReadAction.WATCH
            took_ms = ReaderPolicy().watch_ms if waits else ANSWER_MS
            self.at(now_ms + took_ms, done)

        def done(now_ms: float) -> None:
            answered = self.case.up(now_ms, node.zone)
            node.reader.read_finished(now_ms, key, answered=answered)
            turn(now_ms)

        return turn

    def gossip_of(self, node: Node) -> Callable[[float], None]:
        def gossip(now_ms: float) -> None:
            for peer in self.random.sample(self.nodes, GOSSIP_PEERS):
                self.tell(now_ms, node, peer)
            self.at(now_ms + GOSSIP_MS, gossip)

        return gossip

    def tell(self, now_ms: float, node: Node, peer: Node) -> None:
        """Exchange ages both ways, as a question and its answer do."""
        if not self.case.linked(now_ms, node.zone, peer.zone):
            return
        ages = node.reader.answer_age_ms(now_ms), peer.reader.answer_age_ms(now_ms)
        for to, age_ms in ((peer, ages[0]), (node, ages[1])):
            if age_ms is not None:
                to.reader.peer_reported_answer(now_ms + LINK_MS, age_ms)


def cases() -> list[Case]:
    """Return the courses of events to measure."""

    def down_for_an_hour(now_ms: float, zone: int) -> bool:
        return not 60_000.0 <= now_ms < 60_000.0 + HOUR_MS

    def half_cut_off(now_ms: float, zone: int) -> bool:
        return zone < ZONES // 2 or not 60_000.0 <= now_ms < 660_000.0

    def parted(now_ms: float, a: int, b: int) -> bool:
        parted_now = 60_000.0 <= now_ms < 660_000.0
        return a == b or not parted_now or (a < ZONES // 2) == (b < ZONES // 2)

    return [
        Case("all start at once, platform up", 120_000.0),
        Case(
            "platform down for an hour, then back",
            HOUR_MS + 240_000.0,
            up=down_for_an_hour,
            from_ms=30_000.0,
        ),
        Case(
            "half the zones cut off from the platform",
            900_000.0,
            up=half_cut_off,
            from_ms=30_000.0,
        ),
        Case(
            "half the zones cut off from the platform and the rest",
            900_000.0,
            up=half_cut_off,
            linked=parted,
            from_ms=30_000.0,
        ),
        Case(
            "each node alone, platform down for an hour, then back",
            HOUR_MS + 240_000.0,
            up=down_for_an_hour,
            linked=lambda now_ms, a, b: False,
            alone=True,
            from_ms=30_000.0,
        ),
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--csv", type=Path, help="write the table to this file")
    parser.add_argument("--seed", type=int, default=SEED)
    arguments = parser.parse_args()
    rows = []
    for case in cases():
        measured = Run(case=case, seed=arguments.seed).measure()
        mean = measured.calls / (case.until_ms / 1_000)
        rows.append((case.name, *measured, round(mean, 1)))
        print(f"{case.name}: {measured}, mean {mean:.1f} calls/s", flush=True)
    if arguments.csv:
        with arguments.csv.open("w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(("case", *Measured._fields, "mean_calls_per_s"))
            writer.writerows(rows)
    worst = max(row[1] for row in rows)
    print(f"worst second: {worst} calls; the limit is {LIMIT_PER_S}")
    return 0 if worst < LIMIT_PER_S else 1


if __name__ == "__main__":
    sys.exit(main())
