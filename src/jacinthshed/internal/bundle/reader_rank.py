"""The place of a node among the possible readers of its availability zone."""

import xxhash


def reader_weight(host: str) -> tuple[int, str]:
    """Return what orders hosts as readers; the name decides between equal hashes."""
    return xxhash.xxh3_64_intdigest(host.encode()), host


class ReaderRank:
    """Counts the live hosts of the zone that go before this node.

    Every node computes its own place from the members it knows; no node is told.
    Only the members before this node are kept, so a change costs one hash.
    """

    def __init__(self, *, host: str, availability_zone: str) -> None:
        self._weight = reader_weight(host)
        self._availability_zone = availability_zone
        self._before: set[str] = set()
        self._others: set[str] = set()
        self._host = host

    @property
    def rank(self) -> int:
        """Place in the zone; 0 goes first."""
        return len(self._before)

    @property
    def nodes(self) -> int:
        """Number of live hosts in all zones, this one included."""
        return len(self._others) + 1

    def add(self, host: str, availability_zone: str) -> None:
        """Note that ``host`` is live."""
        if host == self._host:
            return
        self._others.add(host)
        in_zone = availability_zone == self._availability_zone
        if in_zone and reader_weight(host) < self._weight:
            self._before.add(host)

    def remove(self, host: str) -> None:
        """Note that ``host`` is leaving or gone."""
        self._others.discard(host)
        self._before.discard(host)
