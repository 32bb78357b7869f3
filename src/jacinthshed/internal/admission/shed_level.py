"""The boundary between work that a target would accept and work that it would shed."""

from typing import NamedTuple


class ShedLevel(NamedTuple):
    """Work whose ``(rank, root_hash)`` is at or above the level is refused for load."""

    rank: int
    root_hash: int

    def sheds(self, rank: int, root_hash: int) -> bool:
        """Return whether work of this rank and root hash would be refused."""
        return (rank, root_hash) >= self


# Above the rank of any request: the rank of a workspace goes before that of its route.
NOTHING_SHED = ShedLevel(1 << 40, 0)
ALL_SHED = ShedLevel(0, 0)


def stricter(one: ShedLevel, other: ShedLevel) -> ShedLevel:
    """Return the level that sheds more work."""
    return min(one, other)
