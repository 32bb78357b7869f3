"""Where a node learns its policy and the hosts of its deployment."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..bundle.model import ReaderPolicy
from ..bundle.opened_bundle import BundleOpener
from ..bundle.read_scheduler import START_WINDOW_MS
from ..http.network import Connect
from ..membership.host_list import ListedHost
from ..telemetry.log import LogDecision
from .feed import Feed
from .target_entry import EntryChange


class Sinks(NamedTuple):
    """What takes in what the feeds bring.

    ``take_bundle`` gets a policy document, ``take_hosts`` a list of hosts.
    ``replace_targets`` gets a revision with all targets, ``change_targets`` a revision
    with the changes up to it.
    """

    take_bundle: Callable[[bytes], None]
    take_hosts: Callable[[Sequence[ListedHost]], None]
    replace_targets: Callable[[int, Sequence[EntryChange]], None]
    change_targets: Callable[[int, Sequence[EntryChange]], None]


class Publication(NamedTuple):
    """A source of policy and hosts.

    ``keys`` names the feeds. ``lists_targets`` says that targets are listed one by one,
    so that requests go to those and to no others; else they go to the members that
    gossip knows. ``is_current`` says that a reading is never stale, so that a node
    which has read everything needs no peer before it serves. ``readers`` holds until a
    policy is in force.
    """

    keys: tuple[str, ...]
    open_bundle: BundleOpener
    feeds: Callable[[Connect, Sinks, LogDecision], Sequence[Feed]]
    lists_targets: bool = False
    is_current: bool = False
    readers: ReaderPolicy = ReaderPolicy()
    start_window_ms: float = START_WINDOW_MS
