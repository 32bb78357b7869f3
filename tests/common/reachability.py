"""Fleets in availability zones, with faults between hosts, and their graphs."""

from itertools import combinations
from typing import NamedTuple

from hypothesis import strategies as st

from jacinthshed.internal.membership.overlay import choose_neighbours
from tests.common.members import member

# Sizes of the zones, and a prefix of the host names, which decide the hash order.
FLEETS = st.tuples(
    st.lists(st.one_of(st.integers(1, 3), st.integers(1, 12)), min_size=1, max_size=5),
    st.text("abcdefgh", min_size=1, max_size=8),
)


def zoned_fleet(sizes, prefix):
    """Return records by host, with as many hosts in each zone as ``sizes`` says."""
    records = [
        member(f"{prefix}-{zone}-{number}", availability_zone=f"zone-{zone}")
        for zone, size in enumerate(sizes)
        for number in range(size)
    ]
    return {record.host: record for record in records}


class Faults(NamedTuple):
    """Hosts that are ``up``, and zones whose hosts can't reach each other."""

    up: frozenset
    split_zones: frozenset


def draw_faults(data, records):
    """Draw lost hosts, lost zones, and zones without links inside."""
    hosts = sorted(records)
    zones = sorted({record.availability_zone for record in records.values()})
    lost_hosts = data.draw(st.sets(st.sampled_from(hosts), max_size=len(hosts) // 2))
    lost_zones = data.draw(st.sets(st.sampled_from(zones), max_size=2))
    split_zones = data.draw(st.sets(st.sampled_from(zones)))
    up = [
        host
        for host in hosts
        if host not in lost_hosts and records[host].availability_zone not in lost_zones
    ]
    return Faults(frozenset(up), frozenset(split_zones))


def physical_links(records, faults):
    """Return the pairs of hosts that can reach each other."""

    def is_split(one, other):
        zone = records[one].availability_zone
        return zone in faults.split_zones and (records[other].availability_zone == zone)

    pairs = combinations(sorted(faults.up), 2)
    return {frozenset(pair) for pair in pairs if not is_split(*pair)}


def overlay_links(
    records, network, *, prefers_own_zone, believes_reachable=lambda host, other: True
):
    """Return the links between neighbours, which either of the two has chosen.

    Each host takes for reachable what the network connects it to, less what
    ``believes_reachable`` denies.
    """
    links = set()
    for host, record in records.items():
        zone = record.availability_zone

        def is_reachable(other, host=host):
            pair = frozenset((host, other))
            return pair in network and believes_reachable(host, other)

        def is_in_own_zone(other, zone=zone):
            return records[other].availability_zone == zone

        chosen = choose_neighbours(
            host,
            records,
            is_reachable,
            is_in_own_zone=is_in_own_zone if prefers_own_zone else None,
        )
        links.update(frozenset((host, other)) for other in chosen)
    return links


def components(hosts, links):
    """Return the sets of hosts that ``links`` connect."""
    part_of = {host: {host} for host in hosts}
    for one, other in map(tuple, links):
        if part_of[one] is not part_of[other]:
            merged = part_of[one] | part_of[other]
            for host in merged:
                part_of[host] = merged
    return {frozenset(part) for part in part_of.values()}
