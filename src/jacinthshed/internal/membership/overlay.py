"""Choice of the long-lived gossip neighbours of a node."""

from collections.abc import Callable, Iterable

from ..routing.rendezvous import score

# Each node chooses this many neighbours and is chosen by as many on average. A random
# graph of this degree is almost surely connected, and a message crosses a fleet of a
# thousand nodes in about five hops.
NEIGHBOUR_COUNT = 4


def choose_neighbours(
    host: str,
    members: Iterable[str],
    is_reachable: Callable[[str], bool],
    count: int = NEIGHBOUR_COUNT,
) -> tuple[str, ...]:
    """Return the neighbours of ``host`` among ``members``.

    They are chosen by rendezvous hashing regardless of their availability zones, so
    most of them are in other zones, and a departing host changes few neighbours.
    """
    others = (other for other in members if other != host and is_reachable(other))
    ranked = sorted(others, key=lambda other: score(host, other))
    return tuple(ranked[:count])
