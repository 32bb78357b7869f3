"""The parts of a node that read the platform."""

from collections.abc import Callable
from random import Random

import trio

from ..bundle.model import ReaderPolicy
from ..bundle.readers import PlatformReader
from ..membership.host_list import ListedHost
from ..platform.adapter import http_platform
from ..platform.hosts import HostState, parse_hosts
from ..settings.address import Address
from ..settings.model import NodeSettings
from .clock import Clock
from .parts import Surroundings
from .platform_task import PlatformTask
from .policy_holder import PolicyHolder


def build_reader(
    settings: NodeSettings, random: Random, clock: Clock
) -> PlatformReader:
    """Return the decisions on when this node reads the platform."""
    platform = settings.platform
    keys = (platform.bundle_key, platform.hosts_key) if platform else ()
    return PlatformReader(
        host=settings.host,
        availability_zone=settings.availability_zone,
        policy=ReaderPolicy(),
        keys=keys,
        random=random,
        now_ms=clock.now_ms(),
    )


def build_platform_tasks(
    *,
    around: Surroundings,
    holder: PolicyHolder,
    reader: PlatformReader,
    on_hosts: Callable[[bytes], None],
) -> list[PlatformTask]:
    """Return the tasks that follow the bundle and the host list."""
    settings = around.settings.platform
    if settings is None:
        return []

    async def connect(address: Address) -> trio.abc.Stream:
        return await around.network.connect(str(address))

    def watch_ms() -> int:
        policy = holder.current()
        return (policy.bundle.readers if policy else ReaderPolicy()).watch_ms

    def take_bundle(value: bytes) -> None:
        holder.offer(value, "platform")

    platform = http_platform(address=settings.address, connect=connect)
    followed = {settings.bundle_key: take_bundle, settings.hosts_key: on_hosts}
    return [
        PlatformTask(
            platform=platform,
            key=key,
            reader=reader,
            clock=around.clock,
            watch_ms=watch_ms,
            on_value=on_value,
            log=around.log,
        )
        for key, on_value in followed.items()
    ]


def read_listed_hosts(value: bytes) -> list[ListedHost] | None:
    """Return the hosts of the platform's list, or ``None`` when it is no list."""
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
