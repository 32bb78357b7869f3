"""The built-in source of policy and hosts: the configuration service."""

from collections.abc import Callable, Sequence
from functools import partial

import trio
from returns.result import Result

from ..bundle.opened_bundle import BundleOpener
from ..discovery.feed import ApplyReading, Feed
from ..discovery.publication import Publication, Sinks
from ..http.network import Connect
from ..membership.host_list import ListedHost
from ..settings.address import Address
from ..settings.model import PlatformSettings
from ..telemetry.log import LogDecision
from .adapter import Platform, PlatformError, VersionedValue, http_platform
from .hosts import HostState, parse_hosts


def service_publication(
    settings: PlatformSettings | None, open_bundle: BundleOpener
) -> Publication:
    """Return the publication of ``settings``; it has no feeds without settings."""

    def feeds(connect: Connect, sinks: Sinks, log: LogDecision) -> Sequence[Feed]:
        if settings is None:
            return []

        async def connect_to(address: Address) -> trio.abc.Stream:
            return await connect(str(address))

        def take_hosts(value: bytes) -> None:
            listed = read_listed_hosts(value)
            if listed is None:
                log("host_list_refused", reason="not a JSON list of hosts")
            else:
                sinks.take_hosts(listed)

        platform = http_platform(address=settings.address, connect=connect_to)
        return [
            value_feed(platform, settings.bundle_key, sinks.take_bundle),
            value_feed(platform, settings.hosts_key, take_hosts),
        ]

    keys = (settings.bundle_key, settings.hosts_key) if settings else ()
    return Publication(keys=keys, open_bundle=open_bundle, feeds=feeds)


def value_feed(platform: Platform, key: str, on_value: Callable[[bytes], None]) -> Feed:
    """Return the feed of the value of ``key``; calls ``on_value`` with each new one."""
    revision = 0

    def take(versioned: VersionedValue | None) -> None:
        nonlocal revision
        # A platform that was restored from a backup may continue from a lower revision.
        if versioned is not None and versioned.revision != revision:
            revision = versioned.revision
            on_value(versioned.value)

    async def read() -> Result[ApplyReading, PlatformError]:
        return (await platform.read(key)).map(lambda got: partial(take, got))

    async def watch(wait_ms: int) -> Result[ApplyReading, PlatformError]:
        watched = await platform.watch(key, revision, wait_ms)
        return watched.map(lambda got: partial(take, got))

    return Feed(key, read, watch)


def read_listed_hosts(value: bytes) -> list[ListedHost] | None:
    """Return the hosts in ``value``, or ``None`` when it is not a JSON list."""
    parsed = parse_hosts(value).value_or(None)
    if parsed is None:
        return None
    return [
        ListedHost(
            host=host.host,
            service=host.service,
            availability_zone=host.availability_zone,
            peer_address=str(host.peer_address),
            leaving=host.state is HostState.LEAVING,
        )
        for host in parsed.hosts
    ]
