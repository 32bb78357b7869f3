"""Sources from which a node reads its policy and the hosts of its deployment."""

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
    """The functions that feeds call with the values that they read.

    ``take_bundle`` receives a policy document, ``take_hosts`` a list of hosts.
    ``replace_targets`` receives a revision and all targets, ``change_targets`` a
    revision and the changes up to it. Revisions are ordinals that include the
    generation of their source.
    """

    take_bundle: Callable[[bytes], None]
    take_hosts: Callable[[Sequence[ListedHost]], None]
    replace_targets: Callable[[int, Sequence[EntryChange]], None]
    change_targets: Callable[[int, Sequence[EntryChange]], None]


class Publication(NamedTuple):
    """A source of policy and hosts.

    ``keys`` are the keys of the feeds. ``open_bundle`` decodes a policy document.
    ``lists_targets`` says that the source lists each target, so that requests are
    routed only to these; otherwise they are routed to the members known by gossip.
    ``is_current`` says that a reading is never stale, so that a node that has read all
    feeds can serve without contacting a peer. ``readers`` applies until a policy is in
    force. ``start_window_ms`` is the time over which nodes spread their first reads.
    """

    keys: tuple[str, ...]
    open_bundle: BundleOpener
    feeds: Callable[[Connect, Sinks, LogDecision], Sequence[Feed]]
    lists_targets: bool = False
    is_current: bool = False
    readers: ReaderPolicy = ReaderPolicy()
    start_window_ms: float = START_WINDOW_MS
