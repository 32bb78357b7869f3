"""An index of live members by service, for lookups without a scan."""

from ..wire.frames import MemberRecord


class ServiceIndex:
    """Live records by service, with a cache of each service's routable members.

    A change only invalidates the cache of its own service. It is rebuilt at the next
    lookup, so a burst of changes costs one rebuild.
    """

    def __init__(self) -> None:
        self._live: dict[str, dict[str, MemberRecord]] = {}
        self._avoided: set[str] = set()
        self._cached_members: dict[str, tuple[MemberRecord, ...]] = {}

    def add(self, record: MemberRecord) -> None:
        """Add ``record`` to its service."""
        self._live.setdefault(record.service, {})[record.host] = record
        self._invalidate(record.service)

    def remove(self, record: MemberRecord) -> None:
        """Remove ``record`` from its service."""
        self._live.get(record.service, {}).pop(record.host, None)
        self._invalidate(record.service)

    def set_avoided(self, hosts: set[str]) -> bool:
        """Replace the hosts that are not routed to while there are enough others.

        Return whether the set of these hosts changed.
        """
        if hosts == self._avoided:
            return False
        self._avoided = hosts
        self._cached_members.clear()
        return True

    def services(self) -> tuple[str, ...]:
        """Return the names of services that have or had members.

        A service is kept when its last member leaves, so that subscribers to its
        members are notified that there are none.
        """
        return tuple(self._live)

    def members(self, service: str) -> tuple[MemberRecord, ...]:
        """Return the routable members of ``service``, ordered by host."""
        cached = self._cached_members.get(service)
        if cached is None:
            cached = self._cached_members[service] = self._routable(service)
        return cached

    def _routable(self, service: str) -> tuple[MemberRecord, ...]:
        hosts = self._live.get(service, {})
        live = tuple(hosts[host] for host in sorted(hosts))
        not_avoided = tuple(r for r in live if r.host not in self._avoided)
        # Hints may be wrong about many hosts at once. They are ignored if they exclude
        # more than half of the service, so that they never direct all work to a few
        # hosts.
        return not_avoided if 2 * len(not_avoided) >= len(live) else live

    def _invalidate(self, service: str) -> None:
        self._cached_members.pop(service, None)
