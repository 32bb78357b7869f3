"""Long-lived gossip neighbours."""

from collections.abc import Callable, Iterable

from ..routing.rendezvous import score

# Each node chooses this many neighbours and is chosen by as many on the average. A
# random graph of that degree is connected but for a vanishing chance, and a message
# crosses a fleet of a thousand in about five steps.
NEIGHBOURS = 4


def choose_neighbours(
    host: str,
    members: Iterable[str],
    is_reachable: Callable[[str], bool],
    count: int = NEIGHBOURS,
) -> tuple[str, ...]:
    """Return the neighbours of ``host`` among ``members``.

    The choice is by rendezvous hash over all availability zones alike, so most
    neighbours are in other zones, and one host's leaving moves few of them.
    """
    others = (other for other in members if other != host and is_reachable(other))
    ranked = sorted(others, key=lambda other: score(host, other))
    return tuple(ranked[:count])
