"""Reads per second that a fleet of nodes makes at the platform, in virtual time.

Runs the read schedulers of 990 nodes without sockets or processes; the same seed gives
the same figures. Once a second each node exchanges the age of the platform's last
answer with two random peers, if their zones are linked. Nodes exchange nothing else.

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
from jacinthshed.internal.bundle.read_decision import ReadAction
from jacinthshed.internal.bundle.read_scheduler import ReadScheduler

NODES = 990
ZONES = 4
KEYS = ("bundle", "hosts")
SEED = 11
CALL_LIMIT_PER_S = 2_000
GOSSIP_MS = 1_000.0
GOSSIP_PEERS = 2
LINK_DELAY_MS = 5.0
ANSWER_DELAY_MS = 3.0
HOUR_MS = 3_600_000.0


class Node(NamedTuple):
    """One node of the fleet: the index of its zone, and its read scheduler."""

    zone: int
    scheduler: ReadScheduler


class Case(NamedTuple):
    """One scenario of outages.

    ``platform_up`` says whether the platform answers a zone at a time, ``linked``
    whether two zones can exchange messages. Only seconds from ``from_ms`` on count for
    the peak, so that the start of the fleet doesn't hide a later peak. With
    ``isolated`` no node knows any other.
    """

    name: str
    until_ms: float
    platform_up: Callable[[float, int], bool] = lambda now_ms, zone: True
    linked: Callable[[float, int, int], bool] = lambda now_ms, a, b: True
    isolated: bool = False
    from_ms: float = 0.0


class Measured(NamedTuple):
    """Calls to the platform: in the second with the most calls, and in total."""

    peak_per_s: int
    answered_peak_per_s: int
    calls: int
    answered: int


def worst_second(counts: Counter[int], from_ms: float) -> int:
    """Return the largest count of a second from ``from_ms`` on."""
    later = (count for second, count in counts.items() if second * 1_000 >= from_ms)
    return max(later, default=0)


def build_fleet(case: Case, random: Random) -> list[Node]:
    """Return the nodes of the fleet, all of them started at time 0."""
    zones = [index % ZONES for index in range(NODES)]
    nodes = []
    for index, zone in enumerate(zones):
        scheduler = ReadScheduler(
            host=f"host-{index}",
            availability_zone=f"zone-{zone}",
            policy=ReaderPolicy(),
            keys=KEYS,
            random=Random(random.random()),
            now_ms=0.0,
        )
        if not case.isolated:
            for other, other_zone in enumerate(zones):
                scheduler.member_up(0.0, f"host-{other}", f"zone-{other_zone}")
        nodes.append(Node(zone, scheduler))
    return nodes


class Run:
    """Runs one case in virtual time with a heap of events, and counts the calls."""

    def __init__(self, *, case: Case, seed: int) -> None:
        self.case = case
        self.random = Random(seed)
        self.nodes = build_fleet(case, self.random)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = 0
        self.calls: Counter[int] = Counter()
        self.answered: Counter[int] = Counter()

    def schedule(self, when_ms: float, action: Callable[[float], None]) -> None:
        """Call ``action`` with the time when virtual time reaches ``when_ms``."""
        self.sequence += 1
        heapq.heappush(self.events, (when_ms, self.sequence, action))

    def measure(self) -> Measured:
        """Run the case to its end and return the counts."""
        for node in self.nodes:
            for key in KEYS:
                self.schedule(0.0, self.read_loop(node, key))
            self.schedule(self.random.random() * GOSSIP_MS, self.gossip_loop(node))
        while self.events and self.events[0][0] < self.case.until_ms:
            now_ms, _, action = heapq.heappop(self.events)
            action(now_ms)
        return Measured(
            worst_second(self.calls, self.case.from_ms),
            worst_second(self.answered, self.case.from_ms),
            sum(self.calls.values()),
            sum(self.answered.values()),
        )

    def read_loop(self, node: Node, key: str) -> Callable[[float], None]:
        """Return the action that makes the next read of ``key``, or waits for it."""

        def read_or_wait(now_ms: float) -> None:
            decision = node.scheduler.decide(now_ms, key)
            if decision.action is ReadAction.WAIT:
                self.schedule(now_ms + decision.wait_ms, read_or_wait)
                return
            second = int(now_ms // 1_000)
            self.calls[second] += 1
            up = self.case.platform_up(now_ms, node.zone)
            self.answered[second] += up
            watches = up and decision.action is ReadAction.WATCH
            took_ms = ReaderPolicy().watch_ms if watches else ANSWER_DELAY_MS
            self.schedule(now_ms + took_ms, done)

        def done(now_ms: float) -> None:
            answered = self.case.platform_up(now_ms, node.zone)
            node.scheduler.read_finished(now_ms, key, answered=answered)
            read_or_wait(now_ms)

        return read_or_wait

    def gossip_loop(self, node: Node) -> Callable[[float], None]:
        """Return the action that gossips with random peers, once a ``GOSSIP_MS``."""

        def gossip(now_ms: float) -> None:
            for peer in self.random.sample(self.nodes, GOSSIP_PEERS):
                self.exchange_ages(now_ms, node, peer)
            self.schedule(now_ms + GOSSIP_MS, gossip)

        return gossip

    def exchange_ages(self, now_ms: float, node: Node, peer: Node) -> None:
        """Send the age of the last answer both ways, as a request and its reply do."""
        if not self.case.linked(now_ms, node.zone, peer.zone):
            return
        ages = (
            node.scheduler.answer_age_ms(now_ms),
            peer.scheduler.answer_age_ms(now_ms),
        )
        for receiver, age_ms in ((peer, ages[0]), (node, ages[1])):
            if age_ms is not None:
                receiver.scheduler.peer_reported_answer(now_ms + LINK_DELAY_MS, age_ms)


def cases() -> list[Case]:
    """Return the cases to measure."""

    def up_except_for_an_hour(now_ms: float, zone: int) -> bool:
        return not 60_000.0 <= now_ms < 60_000.0 + HOUR_MS

    def up_except_in_half_the_zones(now_ms: float, zone: int) -> bool:
        return zone < ZONES // 2 or not 60_000.0 <= now_ms < 660_000.0

    def linked_except_between_halves(now_ms: float, a: int, b: int) -> bool:
        is_split = 60_000.0 <= now_ms < 660_000.0
        return a == b or not is_split or (a < ZONES // 2) == (b < ZONES // 2)

    return [
        Case("all start at once, platform up", 120_000.0),
        Case(
            "platform down for an hour, then back",
            HOUR_MS + 240_000.0,
            platform_up=up_except_for_an_hour,
            from_ms=30_000.0,
        ),
        Case(
            "half the zones cut off from the platform",
            900_000.0,
            platform_up=up_except_in_half_the_zones,
            from_ms=30_000.0,
        ),
        Case(
            "half the zones cut off from the platform and the rest",
            900_000.0,
            platform_up=up_except_in_half_the_zones,
            linked=linked_except_between_halves,
            from_ms=30_000.0,
        ),
        Case(
            "each node alone, platform down for an hour, then back",
            HOUR_MS + 240_000.0,
            platform_up=up_except_for_an_hour,
            linked=lambda now_ms, a, b: False,
            isolated=True,
            from_ms=30_000.0,
        ),
    ]


def main() -> int:
    """Print the figures of all cases; return 1 when a peak reaches the limit."""
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
    print(f"worst second: {worst} calls; the limit is {CALL_LIMIT_PER_S}")
    return 0 if worst < CALL_LIMIT_PER_S else 1


if __name__ == "__main__":
    sys.exit(main())
