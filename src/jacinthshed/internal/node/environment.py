"""Dependencies that the components of a node share."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from ..adapters.http_adapter import HttpAdapter
from ..discovery.publication import Publication
from ..http.network import Network
from ..membership.host_list import ListedHost
from ..memory.account import MemoryAccount
from ..settings.model import NodeSettings
from ..telemetry.log import LogDecision
from ..telemetry.metrics import Metrics
from .clock import Clock


class Environment(NamedTuple):
    """Dependencies that the components of a node share.

    ``on_pause`` takes the length in ms of a pause of this process.
    ``on_listed_leaving`` is called when a peer reports that the platform lists this
    host as leaving. ``wake_feeds`` lets the feeds decide again whether to read.
    ``memory`` accounts for the bodies in hand. ``take_hosts`` receives the platform's
    list of hosts.
    """

    settings: NodeSettings
    network: Network
    clock: Clock
    metrics: Metrics
    publication: Publication
    adapter: HttpAdapter
    log: LogDecision
    memory: MemoryAccount
    is_leaving: Callable[[], bool]
    refuses_callers: Callable[[], bool]
    is_backend_up: Callable[[], Awaitable[bool]]
    on_pause: Callable[[float], None]
    on_listed_leaving: Callable[[], None]
    wake_feeds: Callable[[], None]
    take_hosts: Callable[[Sequence[ListedHost]], None]
