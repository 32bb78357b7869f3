"""Choice of the peers that a node gossips with."""

from collections.abc import Callable, Sequence
from random import Random

from .overlay import choose_neighbours
from .view import View

# Once in this many rounds the peer is chosen from all members, including those that
# were unreachable: this is how the sides of a healed partition find each other.
ANY_MEMBER_INTERVAL_ROUNDS = 4


class PeerSelector:
    """Chooses peers among neighbours, existing links and all members.

    ``linked`` returns the hosts to which a link is open that has delivered a frame
    lately, ``is_reachable`` whether a host is reachable as far as this node knows.
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
        self._neighbours_version = -1

    def neighbours(self) -> tuple[str, ...]:
        """Return the long-lived neighbours."""
        is_stale = self._neighbours_version != self._view.version
        if is_stale or not all(map(self._is_reachable, self._neighbours)):
            self._neighbours_version = self._view.version
            own_host = self._view.self_record.host
            self._neighbours = choose_neighbours(
                own_host, self._view.hosts(), self._is_reachable
            )
        return self._neighbours

    def next_peer(self) -> str | None:
        """Return the peer of the next round, or None when no other host is known."""
        self._round += 1
        if self._round % ANY_MEMBER_INTERVAL_ROUNDS:
            sampled = self.sample_peers(1)
            if sampled:
                return sampled[0]
        known_hosts = self._view.hosts()
        contacts = self._view.contacts()
        index = self._random.randrange(max(1, len(known_hosts) + len(contacts)))
        if index < len(known_hosts):
            return known_hosts[index]
        return contacts[index - len(known_hosts)].host if contacts else None

    def sample_peers(self, count: int, exclude: str = "") -> list[str]:
        """Return up to ``count`` distinct peers among neighbours and linked hosts."""
        candidates = set(self.neighbours())
        candidates.update(host for host in self._linked() if self._is_reachable(host))
        candidates -= {exclude, self._view.self_record.host}
        return self._random.sample(sorted(candidates), min(count, len(candidates)))
