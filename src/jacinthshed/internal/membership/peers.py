"""Whom a node gossips with."""

from collections.abc import Callable, Sequence
from random import Random

from .overlay import choose_neighbours
from .view import View

# Every so many rounds the peer is any member at all, also one that could not be
# reached lately: that is how the halves of a healed partition find each other.
ANY_MEMBER_ROUNDS = 4


class Peers:
    """Chooses peers among neighbours, existing links and all members.

    ``linked`` returns hosts to which a link is open, ``is_reachable`` whether nothing
    speaks against a host.
    """

    def __init__(
        self,
        *,
        view: View,
        random: Random,
        linked: Callable[[], Sequence[str]],
        is_reachable: Callable[[str], bool],
    ) -> None:
        self._view = view
        self._random = random
        self._linked = linked
        self._is_reachable = is_reachable
        self._round = 0
        self._neighbours: tuple[str, ...] = ()
        self._chosen_version = -1

    def neighbours(self) -> tuple[str, ...]:
        """Return the long-lived neighbours."""
        is_stale = self._chosen_version != self._view.version
        if is_stale or not all(map(self._is_reachable, self._neighbours)):
            self._chosen_version = self._view.version
            own_host = self._view.self_record.host
            self._neighbours = choose_neighbours(
                own_host, self._view.hosts(), self._is_reachable
            )
        return self._neighbours

    def next_peer(self) -> str | None:
        """Return the peer of the next round, or None when no other host is known."""
        self._round += 1
        if self._round % ANY_MEMBER_ROUNDS:
            near = self.several(1)
            if near:
                return near[0]
        anyone = self._view.hosts()
        contacts = self._view.contacts()
        choice = self._random.randrange(max(1, len(anyone) + len(contacts)))
        if choice < len(anyone):
            return anyone[choice]
        return contacts[choice - len(anyone)].host if contacts else None

    def several(self, count: int, exclude: str = "") -> list[str]:
        """Return up to ``count`` distinct peers that are cheap to reach."""
        pool = set(self.neighbours())
        pool.update(host for host in self._linked() if self._is_reachable(host))
        pool -= {exclude, self._view.self_record.host}
        return self._random.sample(sorted(pool), min(count, len(pool)))
