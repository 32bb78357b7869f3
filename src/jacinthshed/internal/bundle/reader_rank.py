"""The rank of a node among the possible readers of its availability zone."""

import xxhash


def reader_sort_key(host: str) -> tuple[int, str]:
    """Return the sort key of a host; the host name breaks ties of equal hashes."""
    return xxhash.xxh3_64_intdigest(host.encode()), host


class ReaderRank:
    """Counts the live hosts of the availability zone that rank before this node.

    Every node computes its own rank from the members it knows; no message assigns it.
    Of the zone only the hosts that rank before this node are kept, so a change costs
    one hash.

    A host that the platform doesn't answer is suspended for some time: it keeps its
    rank, and the effective rank of the hosts after it doesn't count it.
    """

    def __init__(self, *, host: str, availability_zone: str) -> None:
        self._sort_key = reader_sort_key(host)
        self._availability_zone = availability_zone
        self._before: set[str] = set()
        self._zone_of: dict[str, str] = {}
        self._host = host
        self._suspended_until_ms: dict[str, float] = {}

    @property
    def effective_rank(self) -> int:
        """Rank among the hosts of the availability zone that are not suspended."""
        return len(self._before) - len(self._before & self._suspended_until_ms.keys())

    @property
    def rank(self) -> int:
        """Rank in the availability zone; 0 is the first reader."""
        return len(self._before)

    @property
    def nodes(self) -> int:
        """Number of live hosts in all availability zones, including this one."""
        return len(self._zone_of) + 1

    @property
    def zones(self) -> int:
        """Number of availability zones with live hosts, including this node's."""
        return len({self._availability_zone, *self._zone_of.values()})

    @property
    def rank_in_fleet(self) -> int:
        """Rank among the hosts of all zones, if each zone has equally many.

        The first of each zone come first, ordered by zone.
        """
        zones = sorted({self._availability_zone, *self._zone_of.values()})
        return self.rank * len(zones) + zones.index(self._availability_zone)

    def add(self, host: str, availability_zone: str) -> None:
        """Record that ``host`` is live."""
        if host == self._host:
            return
        self._zone_of[host] = availability_zone
        in_zone = availability_zone == self._availability_zone
        if in_zone and reader_sort_key(host) < self._sort_key:
            self._before.add(host)

    def remove(self, host: str) -> None:
        """Record that ``host`` is leaving, gone or unreachable."""
        self._zone_of.pop(host, None)
        self._before.discard(host)
        self._suspended_until_ms.pop(host, None)

    def suspend(self, host: str, now_ms: float, until_ms: float) -> bool:
        """Suspend ``host``; return whether it was not suspended before."""
        if host not in self._zone_of:
            return False
        self.end_suspensions(now_ms)
        is_new = host not in self._suspended_until_ms
        self._suspended_until_ms[host] = until_ms
        return is_new

    def end_suspensions(self, now_ms: float) -> None:
        """End the suspensions that are over."""
        over = [h for h, end_ms in self._suspended_until_ms.items() if end_ms <= now_ms]
        for host in over:
            del self._suspended_until_ms[host]

    def successors(self) -> list[str]:
        """Return the hosts of the availability zone that rank after this one."""
        keys = [
            reader_sort_key(host)
            for host, zone in self._zone_of.items()
            if zone == self._availability_zone
        ]
        return [host for order, host in sorted(keys) if (order, host) > self._sort_key]
