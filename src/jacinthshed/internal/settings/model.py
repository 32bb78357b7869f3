"""The settings file of one node.

Addresses are checked and parsed on loading; see ``load_settings``.
"""

from typing import Literal

import msgspec

from .address import Address


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of every part of the settings: immutable, no unknown keys."""


class ListenSettings(_Section, frozen=True, kw_only=True):
    """The listeners of a node; port 0 lets the system choose one.

    Without ``egress`` the backend server's own calls come to the entry like all others.
    ``ready`` answers whether the node takes requests, ``metrics`` serves its figures.
    """

    entry: Address
    peer: Address
    egress: Address | None = None
    ready: Address | None = None
    metrics: Address | None = None


class BackendSettings(_Section, frozen=True, kw_only=True):
    """The backend server beside the node; without ``health_path`` it isn't probed."""

    address: Address
    health_path: str | None = "/healthz"
    health_interval_ms: int = 1_000


class PlatformSettings(_Section, frozen=True, kw_only=True):
    """Where the platform's configuration service is, and its two keys."""

    address: Address
    bundle_key: str = "bundle"
    hosts_key: str = "hosts"


class StoreSettings(_Section, frozen=True, kw_only=True):
    """The store that lists policy and targets, in place of a configuration service.

    ``bounds`` are figures by the name that the platform gives them; unknown names are
    ignored. See ``docs/settings.md``.
    """

    address: Address
    reads_per_s: int = 500
    bounds: dict[str, float | bool | str] = {}


class OperatorSettings(_Section, frozen=True, kw_only=True):
    """Whose signatures a bundle needs.

    ``keys`` maps an operator's name to the Ed25519 public key in base64;
    ``threshold`` of them have to sign.
    """

    keys: dict[str, str]
    threshold: int = 1


class LogSettings(_Section, frozen=True, kw_only=True):
    """Log lines; ``sample`` is the share of the lines about calls that is written."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["auto", "json", "human"] = "auto"
    output: Literal["stderr", "stdout"] = "stderr"
    sample: float = 1.0


class MetricSettings(_Section, frozen=True, kw_only=True):
    """Metrics; without ``statsd`` none are sent."""

    statsd: Address | None = None
    prefix: str = "jacinthshed"


class HttpSettings(_Section, frozen=True, kw_only=True):
    """Bounds of the HTTP listeners.

    ``head_bytes`` bounds a request's head. ``idle_ms`` is how long a connection may
    wait between requests, ``read_ms`` how long a request may take to arrive.
    """

    head_bytes: int = 16_384
    idle_ms: int = 30_000
    read_ms: int = 10_000
    connections: int = 2_000


class NodeSettings(_Section, frozen=True, kw_only=True):
    """All settings of one node.

    ``service`` is empty on a node that has no backend server; it then only takes
    callers' requests. ``deployment``, when it isn't empty, is the only one whose
    bundles the node takes; it matters where deployments share operators' keys.
    ``operators`` are needed where bundles are signed, and so wherever policy doesn't
    come from a ``store``. ``seeds`` are peer addresses to learn the first members from.
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


def changed_keys(old: NodeSettings, new: NodeSettings) -> list[str]:
    """Return the keys at the top level whose values differ."""
    names = old.__struct_fields__
    return [name for name in names if getattr(old, name) != getattr(new, name)]
