"""What the platform's list of hosts may tell a view."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..wire.frames import Leaving, MemberRecord
from .record_order import LIVE

# The list may go on to show a host as leaving for this long after the host came back.
HOST_LIST_LAG_MS = 60_000.0


class ListedHost(NamedTuple):
    """One entry of the platform's list; ``leaving`` is the state it shows."""

    host: str
    service: str
    availability_zone: str
    peer_address: str
    leaving: bool = False


class HostListChanges(NamedTuple):
    """What follows from a new list.

    ``contacts`` are listed hosts that are not known as members: gossip has to ask them.
    ``notices`` are to be sent to the named hosts themselves. The list lags and knows
    no incarnations, so only the node beside a host can tell whether it is meant.
    ``own_leaving`` says that the list shows this node's own host as leaving.
    """

    contacts: tuple[ListedHost, ...]
    notices: tuple[Leaving, ...]
    own_leaving: bool


def should_leave(uptime_ms: float) -> bool:
    """Return whether a node that the list shows as leaving has to follow it.

    An incarnation that is younger than the list's lag may be the one that came back:
    the list then still speaks of the one before.
    """
    return uptime_ms >= HOST_LIST_LAG_MS


class HostList:
    """The platform's last list, and which hosts vanished from it."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedHost] = {}
        self._seen: set[str] = set()
        self._hinted: dict[str, int] = {}

    def update(
        self, hosts: Sequence[ListedHost], get: Callable[[str], MemberRecord | None]
    ) -> None:
        """Replace the list; ``get`` returns what is known of a host."""
        self._listed = {entry.host: entry for entry in hosts}
        known = {host for host in self._seen if get(host) is not None}
        self._seen = known | self._listed.keys()
        hinted = {}
        for entry in hosts:
            record = get(entry.host)
            if entry.leaving and record is not None and record.state == LIVE:
                first = self._hinted.get(entry.host, record.incarnation)
                hinted[entry.host] = first
        self._hinted = hinted

    def shows_leaving(self, host: str) -> bool:
        """Return whether the list shows ``host`` as leaving."""
        entry = self._listed.get(host)
        return entry is not None and entry.leaving

    def unknown(self, known: Iterable[str]) -> tuple[ListedHost, ...]:
        """Return the listed hosts that are not among ``known``."""
        hosts = set(known)
        return tuple(e for e in self._listed.values() if e.host not in hosts)

    def has_lost(self, host: str) -> bool:
        """Return whether the list showed ``host`` once and doesn't any more.

        A host that the list never showed may be newer than the list. A list that
        lost half of its hosts at once is more likely broken than right.
        """
        is_credible = 2 * len(self._listed) > len(self._seen)
        return is_credible and host in self._seen and host not in self._listed

    def is_hinted(self, host: str) -> bool:
        """Return whether the list hints at some incarnation of ``host``."""
        return host in self._hinted

    def hints(self, get: Callable[[str], MemberRecord | None]) -> list[Leaving]:
        """Return the incarnations that the list shows as leaving.

        A hint stays with the incarnation that was known when the list first gave it:
        the next incarnation came after, and the list is late.
        """
        hints = []
        for host, incarnation in sorted(self._hinted.items()):
            record = get(host)
            if record is not None and record.incarnation == incarnation:
                hints.append(Leaving(host, incarnation))
        return hints
