"""Live members by service, ready for lookups without a scan."""

from ..wire.frames import MemberRecord


class ServiceIndex:
    """Live records by service and availability zone.

    A change only drops the prepared answers of its own service; they are built again
    at the next lookup, so a burst of changes costs one rebuild.
    """

    def __init__(self) -> None:
        self._live: dict[str, dict[str, MemberRecord]] = {}
        self._avoided: set[str] = set()
        self._members: dict[str, tuple[MemberRecord, ...]] = {}

    def add(self, record: MemberRecord) -> None:
        """Make ``record`` a member of its service."""
        self._live.setdefault(record.service, {})[record.host] = record
        self._drop_prepared(record.service)

    def remove(self, record: MemberRecord) -> None:
        """Take ``record`` out of its service."""
        self._live.get(record.service, {}).pop(record.host, None)
        self._drop_prepared(record.service)

    def avoid(self, hosts: set[str]) -> bool:
        """Replace the hosts that are left out while enough others are there.

        Return whether that changed anything.
        """
        if hosts == self._avoided:
            return False
        self._avoided = hosts
        self._members.clear()
        return True

    def services(self) -> tuple[str, ...]:
        """Return the names of services that have or had members.

        A service stays when its last member leaves, so that those who follow the
        members of each service hear that there are none.
        """
        return tuple(self._live)

    def members(self, service: str) -> tuple[MemberRecord, ...]:
        """Return the routable members of ``service``, ordered by host."""
        prepared = self._members.get(service)
        if prepared is None:
            prepared = self._members[service] = self._routable(service)
        return prepared

    def _routable(self, service: str) -> tuple[MemberRecord, ...]:
        hosts = self._live.get(service, {})
        live = tuple(hosts[host] for host in sorted(hosts))
        trusted = tuple(r for r in live if r.host not in self._avoided)
        # A hint may be wrong about many hosts at once. It is followed only while half
        # of the service remains, so that it never crowds all work onto a few hosts.
        return trusted if 2 * len(trusted) >= len(live) else live

    def _drop_prepared(self, service: str) -> None:
        self._members.pop(service, None)
