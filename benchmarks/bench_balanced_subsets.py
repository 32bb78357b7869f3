"""Compares ways to spread the callers of a service evenly over its targets.

Run it as ``python -m benchmarks.bench_balanced_subsets``. Each line has a way, the
number of nodes and the sizes of the zones, callers per target (highest over mean, and
highest minus lowest), the new links of other nodes after a node has left that is no
target (mean and highest) and after a target has left (mean), all links, and the time in
microseconds that one node needs.
"""

from collections import Counter
from collections.abc import Callable
from random import Random
from statistics import mean
from time import process_time
from typing import NamedTuple

from jacinthshed.internal.routing.balanced import balanced_assignment, rank_hosts
from jacinthshed.internal.routing.rendezvous import preference_order

FLEETS = (30, 90, 300, 990)
TARGETS = (4, 12, 27, 49)
# Shares of the nodes in each of three availability zones.
ZONE_SHARES = {"equal": (1 / 3, 1 / 3, 1 / 3), "unequal": (0.6, 0.3, 0.1)}
SIZE = 6
SPILL_SIZE = 2
CHANGES = 12
TIMINGS = 9

Links = dict[str, set[str]]
Way = Callable[[list[str], list[str], int, int], Links]


class Fleet(NamedTuple):
    """Hosts of callers and of targets in each availability zone."""

    callers: tuple[list[str], ...]
    targets: tuple[list[str], ...]


def rendezvous(callers: list[str], targets: list[str], size: int, offset: int) -> Links:
    """Today's way: the ``size`` targets with the lowest scores."""
    return {c: set(preference_order(c, targets)[:size]) for c in callers}


def permuted_slots(
    callers: list[str], targets: list[str], size: int, offset: int
) -> Links:
    """Deterministic subsetting: consecutive slots of a seeded permutation per round.

    A caller whose slots span two rounds takes other targets of the second round for
    those that it holds already.
    """
    links: Links = {}
    slots: list[str] = []
    rounds = 0
    for caller in callers:
        held: set[str] = set()
        while len(held) < min(size, len(targets)):
            free = next((t for t in slots if t not in held), None)
            if free is None:
                slots += Random(rounds).sample(targets, len(targets))
                rounds += 1
                continue
            slots.remove(free)
            held.add(free)
        links[caller] = held
    return links


def bounded_load(
    callers: list[str], targets: list[str], size: int, offset: int
) -> Links:
    """Rendezvous hashing in which a target takes no more than its rounded-up share.

    A caller that finds too few targets below their limit takes full ones.
    """
    limit = -(-len(callers) * size // max(1, len(targets)))
    counts: Counter[str] = Counter()
    links: Links = {}
    for caller in callers:
        order = preference_order(caller, targets)
        order.sort(key=lambda target: counts[target] >= limit)
        links[caller] = set(order[:size])
        counts.update(order[:size])
    return links


def moved_links(
    callers: list[str], targets: list[str], size: int, offset: int
) -> Links:
    """Rendezvous hashing, after which links move from targets with too many callers."""
    assigned = balanced_assignment(callers, targets, size, offset)
    return {c: {targets[i] for i in indexes} for c, indexes in assigned.items()}


WAYS: tuple[Way, ...] = (rendezvous, permuted_slots, bounded_load, moved_links)


def build_fleet(nodes: int, targets: int, shares: tuple[float, ...]) -> Fleet:
    """Return a fleet whose targets are spread over the zones as its nodes are."""
    zones = Random(nodes).choices(range(len(shares)), shares, k=nodes)
    callers: tuple[list[str], ...] = tuple([] for _ in shares)
    called: tuple[list[str], ...] = tuple([] for _ in shares)
    for number, zone in enumerate(zones):
        callers[zone].append(f"host-{number}")
        if number < targets:
            called[zone].append(f"host-{number}")
    return Fleet(callers, called)


def assign(way: Way, fleet: Fleet) -> Links:
    """Return the targets of all callers, in all zones."""
    links: Links = {host: set() for hosts in fleet.callers for host in hosts}
    for zone, names in enumerate(fleet.targets):
        targets = rank_hosts(names)
        offset = 0
        others = (other for other in range(len(fleet.callers)) if other != zone)
        for source in (zone, *others):
            size = min(SIZE if source == zone else SPILL_SIZE, len(targets))
            callers = rank_hosts(fleet.callers[source])
            if callers and targets:
                for host, held in way(callers, targets, size, offset).items():
                    links[host] |= held
            offset += len(callers) * size
    return links


def without(fleet: Fleet, host: str) -> Fleet:
    """Return ``fleet`` without ``host``."""
    return Fleet(*(tuple([h for h in z if h != host] for z in part) for part in fleet))


def callers_per_target(fleet: Fleet, links: Links) -> tuple[float, int]:
    """Return highest over mean and highest minus lowest, in the worst zone."""
    counts = Counter(target for held in links.values() for target in held)
    zones = [[counts[t] for t in targets] for targets in fleet.targets if targets]
    return (
        max(max(zone) / mean(zone) for zone in zones),
        max(max(zone) - min(zone) for zone in zones),
    )


def changed_links(way: Way, fleet: Fleet, hosts: list[str]) -> list[int]:
    """Return how many links of others are new after each of ``hosts`` has left.

    A join changes as many, as the assignment depends on the members only.
    """
    before = assign(way, fleet)
    changes = []
    for host in hosts:
        after = assign(way, without(fleet, host))
        changes.append(sum(len(held - before[h]) for h, held in after.items()))
    return changes


def spent_us(way: Way, fleet: Fleet) -> float:
    """Return the time for one node in the largest zone, the median of some runs."""
    source = max(range(len(fleet.callers)), key=lambda z: len(fleet.callers[z]))
    times = []
    for _ in range(TIMINGS):
        started_s = process_time()
        callers = rank_hosts(fleet.callers[source])
        for zone, names in enumerate(fleet.targets):
            size = SIZE if zone == source else SPILL_SIZE
            if way is rendezvous:
                way(callers[:1], names, size, 0)
            elif len(names) > size:
                way(callers, rank_hosts(names), size, 0)
        times.append((process_time() - started_s) * 1e6)
    return sorted(times)[TIMINGS // 2]


def measure(way: Way, nodes: int, shares: str) -> str:
    """Return a line of the table: the worst or the mean over all sizes of services."""
    worst, spread, spent = 0.0, 0, 0.0
    caller_changes, target_changes, links = [], [], []
    for targets in TARGETS:
        fleet = build_fleet(nodes, min(targets, nodes), ZONE_SHARES[shares])
        held = assign(way, fleet)
        ratio, difference = callers_per_target(fleet, held)
        worst, spread = max(worst, ratio), max(spread, difference)
        spent = max(spent, spent_us(way, fleet))
        links.append(sum(map(len, held.values())))
        called = [host for zone in fleet.targets for host in zone]
        plain = sorted(set(held) - set(called))
        choose = Random(1).sample
        caller_changes += changed_links(
            way, fleet, choose(plain, min(CHANGES, len(plain)))
        )
        target_changes += changed_links(
            way, fleet, choose(called, min(CHANGES, len(called)))
        )
    return (
        f"| {way.__name__} | {nodes} | {shares} | {worst:.2f} | {spread} "
        f"| {mean(caller_changes):.1f} | {max(caller_changes)} "
        f"| {mean(target_changes):.1f} | {mean(links):.0f} | {spent:.0f} |"
    )


if __name__ == "__main__":
    for shares in ZONE_SHARES:
        for nodes in FLEETS:
            for way in WAYS:
                print(measure(way, nodes, shares), flush=True)
