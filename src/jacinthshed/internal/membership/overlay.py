"""Choice of the long-lived gossip neighbours of a node."""

from collections.abc import Callable, Iterable

from ..routing.rendezvous import score

# Each node chooses this many neighbours and is chosen by as many on average. A random
# graph of this degree is almost surely connected, and a message crosses a fleet of a
# thousand nodes in about five hops.
NEIGHBOUR_COUNT = 4
# Of these, so many are in other availability zones where zones are preferred. The other
# three connect the nodes of a zone; the zones are connected by the neighbours of all
# their nodes together.
OTHER_ZONE_COUNT = 1


def choose_neighbours(
    host: str,
    members: Iterable[str],
    is_reachable: Callable[[str], bool],
    count: int = NEIGHBOUR_COUNT,
    is_in_own_zone: Callable[[str], bool] | None = None,
) -> tuple[str, ...]:
    """Return the neighbours of ``host`` among ``members``.

    They are chosen by rendezvous hashing, so a departing host changes few neighbours.
    Without ``is_in_own_zone`` they are chosen regardless of their availability zones,
    so most of them are in other zones. With it, all but ``OTHER_ZONE_COUNT`` of them
    are in the zone of ``host``; if either side has too few reachable members, the other
    side makes up for them.
    """
    others = (other for other in members if other != host and is_reachable(other))
    ranked = sorted(others, key=lambda other: score(host, other))
    if is_in_own_zone is None:
        return tuple(ranked[:count])
    own_zone = [other for other in ranked if is_in_own_zone(other)]
    elsewhere = [other for other in ranked if not is_in_own_zone(other)]
    own_zone = own_zone[: count - min(OTHER_ZONE_COUNT, len(elsewhere))]
    return (*own_zone, *elsewhere[: count - len(own_zone)])
