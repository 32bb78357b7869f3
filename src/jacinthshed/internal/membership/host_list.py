"""The platform's list of hosts, used as a hint for membership."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..wire.frames import Leaving, MemberRecord
from .record_order import LIVE

# The list may show a host as leaving for this long after the host has come back.
HOST_LIST_LAG_MS = 60_000.0


class ListedHost(NamedTuple):
    """One entry of the platform's list; ``leaving`` is the state that it shows."""

    host: str
    service: str
    availability_zone: str
    peer_address: str
    leaving: bool = False


class HostListChanges(NamedTuple):
    """The consequences of a new list.

    ``contacts`` are listed hosts that are not known as members, which gossip has to
    contact. ``notices`` have to be sent to the hosts that they name: the list lags and
    has no incarnations, so only the node beside a host can decide whether the entry
    refers to its current incarnation. ``own_leaving`` says that the list shows this
    node's own host as leaving.
    """

    contacts: tuple[ListedHost, ...]
    notices: tuple[Leaving, ...]
    own_leaving: bool


def should_leave(uptime_ms: float) -> bool:
    """Return whether a node that the list shows as leaving has to leave.

    If the incarnation is younger than the lag of the list, the host may have come back
    and the entry may refer to the previous incarnation.
    """
    return uptime_ms >= HOST_LIST_LAG_MS


class HostList:
    """The platform's latest list, and the hosts that were dropped from it."""

    def __init__(self) -> None:
        self._listed: dict[str, ListedHost] = {}
        self._ever_listed: set[str] = set()
        self._hints: dict[str, int] = {}

    def update(
        self, hosts: Sequence[ListedHost], get: Callable[[str], MemberRecord | None]
    ) -> None:
        """Replace the list; ``get`` returns the known record of a host."""
        self._listed = {entry.host: entry for entry in hosts}
        known = {host for host in self._ever_listed if get(host) is not None}
        self._ever_listed = known | self._listed.keys()
        new_hints = {}
        for entry in hosts:
            record = get(entry.host)
            if entry.leaving and record is not None and record.state == LIVE:
                hinted_incarnation = self._hints.get(entry.host, record.incarnation)
                new_hints[entry.host] = hinted_incarnation
        self._hints = new_hints

    def shows_leaving(self, host: str) -> bool:
        """Return whether the list shows ``host`` as leaving."""
        entry = self._listed.get(host)
        return entry is not None and entry.leaving

    def unknown(self, known: Iterable[str]) -> tuple[ListedHost, ...]:
        """Return the listed hosts that are not among ``known``."""
        hosts = set(known)
        return tuple(e for e in self._listed.values() if e.host not in hosts)

    def has_dropped(self, host: str) -> bool:
        """Return whether the list showed ``host`` before and no longer does.

        A host that was never listed may be newer than the list. A list with at most
        half as many hosts as were listed before is more likely broken than correct.
        """
        is_credible = 2 * len(self._listed) > len(self._ever_listed)
        return is_credible and host in self._ever_listed and host not in self._listed

    def has_hint(self, host: str) -> bool:
        """Return whether the list shows an incarnation of ``host`` as leaving."""
        return host in self._hints

    def hints(self, get: Callable[[str], MemberRecord | None]) -> list[Leaving]:
        """Return the incarnations that the list shows as leaving.

        A hint applies only to the incarnation that was known when the list first showed
        the host as leaving. A later incarnation started afterwards, and the list lags.
        """
        hints = []
        for host, incarnation in sorted(self._hints.items()):
            record = get(host)
            if record is not None and record.incarnation == incarnation:
                hints.append(Leaving(host, incarnation))
        return hints
