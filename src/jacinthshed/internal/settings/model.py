"""The settings file of one node.

Addresses are validated and parsed when the file is loaded; see ``load_settings``.
"""

from typing import Literal

import msgspec

from ..memory.account import DEFAULT_BUDGET_BYTES
from .address import Address


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all parts of the settings: immutable, refuses unknown keys."""


class ListenSettings(_Section, frozen=True, kw_only=True):
    """Addresses that a node listens on; with port 0 the system chooses a port.

    ``entry`` accepts requests of callers, ``peer`` links from other nodes, and
    ``egress`` the backend server's own calls, which otherwise use ``entry`` too.
    ``ready`` answers whether the node accepts requests. ``metrics`` serves the metrics.
    """

    entry: Address
    peer: Address
    egress: Address | None = None
    ready: Address | None = None
    metrics: Address | None = None


class BackendSettings(_Section, frozen=True, kw_only=True):
    """The backend server beside the node.

    ``health_path`` is probed every ``health_interval_ms``; without it the backend
    server is not probed.
    """

    address: Address
    health_path: str | None = "/healthz"
    health_interval_ms: int = 1_000


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """The address of the platform's configuration service, and the two keys to read.

    ``bundle_key`` holds the bundle and ``hosts_key`` the list of hosts.
    """

    address: Address
    bundle_key: str = "bundle"
    hosts_key: str = "hosts"


class StoreSettings(_Section, frozen=True, kw_only=True):
    """The store that holds policy and targets, instead of a configuration service.

    ``reads_per_s`` limits the reads of all nodes together. ``first_start`` is true when
    the whole deployment starts for the first time, so that no node can hold anything
    that a slightly outdated reading would contradict. ``bounds`` maps the
    platform's names of its limits to their values; unknown names are ignored. See
    ``docs/settings.md``.
    """

    address: Address
    reads_per_s: int = 500
    first_start: bool = False
    bounds: dict[str, float | bool | str] = {}


class OperatorSettings(_Section, frozen=True, kw_only=True):
    """Operators whose signatures a bundle needs.

    ``keys`` maps an operator's name to the Ed25519 public key in base64. At least
    ``threshold`` of these operators have to sign.
    """

    keys: dict[str, str]
    threshold: int = 1


class LogSettings(_Section, frozen=True, kw_only=True):
    """Log output; ``sample`` is the fraction of the lines about calls to write."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["auto", "json", "human"] = "auto"
    output: Literal["stderr", "stdout"] = "stderr"
    sample: float = 1.0


class MetricSettings(_Section, frozen=True, kw_only=True):
    """Metrics, sent to the ``statsd`` address if there is one."""

    statsd: Address | None = None
    prefix: str = "jacinthshed"


class HttpSettings(_Section, frozen=True, kw_only=True):
    """Limits of each HTTP listener.

    ``head_bytes`` is the largest request line with headers. ``idle_ms`` is how long a
    connection may be idle between requests, ``read_ms`` how long a request may take to
    arrive, and ``connections`` how many connections may be open at once.
    """

    head_bytes: int = 16_384
    idle_ms: int = 30_000
    read_ms: int = 10_000
    connections: int = 2_000


class MemorySettings(_Section, frozen=True, kw_only=True):
    """Memory for what callers send and read.

    ``budget_bytes`` bounds the bodies and answers that the node holds at one time, and
    the connections of callers, each counted as 32 KiB.
    """

    budget_bytes: int = DEFAULT_BUDGET_BYTES


class NodeSettings(_Section, frozen=True, kw_only=True):
    """All settings of one node.

    ``service`` is empty on a node without a backend server, which only accepts
    requests of callers. Bundles of deployments other than ``deployment`` are refused
    unless it is empty; it matters where deployments share operators' keys.
    ``operators`` are required unless the policy comes from a ``store``, which holds
    unsigned policy. ``seeds`` are peer addresses from which the node gets its first
    members.
    """

    host: str
    availability_zone: str
    listen: ListenSettings
    operators: OperatorSettings | None = None
    service: str = ""
    deployment: str = ""
    backend: BackendSettings | None = None
    platform: PlatformSettings | None = None
    store: StoreSettings | None = None
    seeds: tuple[Address, ...] = ()
    logs: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()
    http: HttpSettings = HttpSettings()
    memory: MemorySettings = MemorySettings()


def changed_keys(old: NodeSettings, new: NodeSettings) -> list[str]:
    """Return the top-level keys whose values differ."""
    names = old.__struct_fields__
    return [name for name in names if getattr(old, name) != getattr(new, name)]
