"""Takes in what is said of the targets, from outside and by peers."""

from collections.abc import Callable, Sequence

from ..discovery.directory import Directory
from ..discovery.publication import Sinks
from ..discovery.target_entry import EntryChange
from ..membership.host_list import ListedHost
from ..membership.listed_members import listed_hosts
from ..telemetry.log import LogDecision
from .policy_holder import PolicyHolder


class TargetNews:
    """Hands changes of the directory to those who follow it.

    ``on_hosts`` hears the hosts of all targets, ``on_services`` the services whose
    targets changed.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        on_hosts: Callable[[Sequence[ListedHost]], None],
        on_services: Callable[[Sequence[str]], None],
        log: LogDecision,
    ) -> None:
        self._directory = directory
        self._on_hosts = on_hosts
        self._on_services = on_services
        self._log = log

    def replace(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Take a full reading as of ``revision``."""
        self._tell(self._directory.replace(revision, changes))

    def change(self, revision: int, changes: Sequence[EntryChange]) -> None:
        """Take changes, complete up to ``revision``."""
        self._tell(self._directory.apply(revision, changes))

    def _tell(self, services: list[str]) -> None:
        if not services:
            return
        self._log(
            "targets_changed", revision=self._directory.revision, services=services
        )
        self._on_hosts(listed_hosts(self._directory))
        self._on_services(services)


def make_sinks(
    holder: PolicyHolder,
    news: TargetNews,
    take_hosts: Callable[[Sequence[ListedHost]], None],
) -> Sinks:
    """Return what the feeds of a node bring their readings to."""

    def take_bundle(document: bytes) -> None:
        holder.offer(document, "platform")

    return Sinks(take_bundle, take_hosts, news.replace, news.change)
