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

    Where the own zone is preferred, hosts in other availability zones are peers only
    as neighbours, and in the rounds with any member.
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
        self._prefers_own_zone = False
        self._round = 0
        self._neighbours: tuple[str, ...] = ()
        self._neighbours_version = -1

    def set_prefers_own_zone(self, prefers_own_zone: bool) -> None:
        """Choose the neighbours again if the preference has changed."""
        if prefers_own_zone != self._prefers_own_zone:
            self._prefers_own_zone = prefers_own_zone
            self._neighbours_version = -1

    def neighbours(self) -> tuple[str, ...]:
        """Return the long-lived neighbours."""
        is_stale = self._neighbours_version != self._view.version
        if is_stale or not all(map(self._is_reachable, self._neighbours)):
            self._neighbours_version = self._view.version
            own_host = self._view.self_record.host
            self._neighbours = choose_neighbours(
                own_host,
                self._view.hosts(),
                self._is_reachable,
                is_in_own_zone=self._is_in_own_zone if self._prefers_own_zone else None,
            )
        return self._neighbours

    def next_peer(self) -> str | None:
        """Return the peer of the next round, or None when no other host is known."""
        self._round += 1
        if self._round % ANY_MEMBER_INTERVAL_ROUNDS:
            sampled = self._sample(self._round_candidates(), 1)
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
        return self._sample(self._candidates() - {exclude}, count)

    def _candidates(self) -> set[str]:
        linked = {host for host in self._linked() if self._is_reachable(host)}
        if self._prefers_own_zone:
            linked = set(filter(self._is_in_own_zone, linked))
        return (linked | {*self.neighbours()}) - {self._view.self_record.host}

    def _round_candidates(self) -> set[str]:
        candidates = self._candidates()
        if not self._prefers_own_zone:
            return candidates
        return set(filter(self._is_in_own_zone, candidates)) or candidates

    def _sample(self, candidates: set[str], count: int) -> list[str]:
        return self._random.sample(sorted(candidates), min(count, len(candidates)))

    def _is_in_own_zone(self, host: str) -> bool:
        record = self._view.get(host)
        own_zone = self._view.self_record.availability_zone
        return record is not None and record.availability_zone == own_zone
