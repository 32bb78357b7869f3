"""Simulated deployments in one trio run, with real nodes on an in-memory network."""

import random
from contextlib import asynccontextmanager

import trio
import trio.testing

from jacinthshed.internal.caller.caller import Caller
from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.network import Network
from jacinthshed.internal.standin.platform import serve_platform
from jacinthshed.internal.standin.platform_state import PlatformState
from tests.common.fleet_host import Host, NullRecorder
from tests.common.fleet_keys import signed
from tests.common.streams import SilenceableStream

PLATFORM = "10.9.9.9:80"


def run_virtual(main, *args):
    """Run ``main`` under a mock clock that skips all waits."""
    return trio.run(main, *args, clock=trio.testing.MockClock(autojump_threshold=0))


class Fleet:
    """The hosts of a deployment, its platform and its network."""

    def __init__(self, nursery, layout, bundle, options, recorder):
        self.nursery = nursery
        self.recorder = recorder
        self.bundle = bundle
        self.options = options
        self.platform = PlatformState()
        self.starts = {}
        self.crashes = []
        self.listeners = {}
        self.streams = []
        self.partitioned = set()
        self.hosts = {
            host: Host(self, number, host, service, zone)
            for number, (host, service, zone) in enumerate(layout, 1)
        }

    def __getitem__(self, host):
        return self.hosts[host]

    def publish(self, operator="ops", **changes):
        """Publish the bundle with ``changes``, signed by ``operator``."""
        self.bundle = {**self.bundle, **changes}
        self.platform.put("bundle", signed(self.bundle, operator).decode())

    def list_hosts(self, leaving=()):
        """Publish the list of hosts, with those in ``leaving`` as leaving."""
        self.platform.put("hosts", self._host_list(leaving))

    async def start(self):
        """Start the platform, the backend servers and the nodes."""
        await self.nursery.start(self._serve_platform)
        self.publish()
        self.list_hosts()
        async with trio.open_nursery() as starting:
            for host in self.hosts.values():
                await host.start_backend()
                starting.start_soon(host.start_node)

    def caller(self, *hosts, client="10.8.8.8"):
        """Return a caller that sends to the entries of ``hosts``."""
        network = self.recorder.wrap_network(self._network(client), "caller")
        entries = [self.hosts[host].entry for host in hosts]
        return Caller(entries=entries, network=network, rng=random.Random(5))

    async def send(self, host, request, timeout_ms=10_000, on_interim=None):
        """Send one HTTP request to the entry of ``host``, once."""
        network = self.recorder.wrap_network(self._network("10.8.8.8"), "client")
        pool = BackendPool(
            connect=network.connect,
            address=self.hosts[host].entry,
            max_connections=1,
        )
        try:
            return await pool.request(
                request,
                timeout_ms=timeout_ms,
                max_body_bytes=1_000_000,
                on_interim=on_interim,
            )
        finally:
            await pool.close()

    async def connect(self, address):
        """Open a connection from a client outside the fleet."""
        return await self._network("10.7.7.7").connect(address)

    def network_of(self, host):
        """Return the network as seen from ``host``."""
        return self._network(host.ip)

    def silence(self, one, other):
        """Drop all further data on the open connections between two hosts."""
        ends = {self.hosts[one].ip, self.hosts[other].ip}
        for stream in self.streams:
            if stream.ends == ends:
                stream.silent = True

    def partition(self, one, other):
        """Partition two sets of hosts: open connections go silent, new ones hang."""
        for left in one:
            for right in other:
                ends = frozenset((self.hosts[left].ip, self.hosts[right].ip))
                self.partitioned.add(ends)
                for stream in self.streams:
                    if stream.ends == ends:
                        stream.silent = True

    def isolate(self, isolated):
        """Break all connections of one host to the others; new ones hang."""
        for other in self.hosts:
            ends = frozenset((self.hosts[isolated].ip, self.hosts[other].ip))
            if other != isolated:
                self.partitioned.add(ends)
                for stream in self.streams:
                    if stream.ends == ends:
                        stream.reset()

    def heal(self):
        """End all partitions for new connections."""
        self.partitioned.clear()

    def versions(self):
        """Return the version of the bundle in force on each node."""
        return [host.version for host in self.hosts.values()]

    def total_starts(self, key):
        """Return the number of starts of ``key`` on all hosts."""
        return sum(starts[key] for starts in self.starts.values())

    async def _serve_platform(self, task_status):
        await serve_platform(
            self.platform,
            self._network("10.9.9.9"),
            PLATFORM,
            task_status=task_status,
        )

    def _host_list(self, leaving):
        entries = [
            f'{{"host": "{host.host}", "service": "{host.service}", '
            f'"availability_zone": "{host.zone}", '
            f'"peer_address": "{host.ip}:3", '
            f'"state": "{"leaving" if host.host in leaving else "live"}"}}'
            for host in self.hosts.values()
        ]
        return f"[{', '.join(entries)}]"

    def _network(self, own_ip):
        async def connect(address):
            await trio.lowlevel.checkpoint()
            ends = frozenset((own_ip, address.rpartition(":")[0]))
            if ends in self.partitioned:
                await trio.sleep_forever()
            accept = self.listeners.get(address)
            if accept is None:
                raise ConnectionRefusedError(f"nothing listens on {address}")
            ours, theirs = trio.testing.memory_stream_pair()
            try:
                accept(self._silenceable(theirs, ends))
            except RuntimeError as error:  # The listener is just being closed.
                raise ConnectionRefusedError(address) from error
            return self._silenceable(ours, ends)

        async def listen(address, handler, *, task_status=trio.TASK_STATUS_IGNORED):
            if address in self.listeners:
                raise OSError(f"{address} is in use")
            try:
                async with trio.open_nursery() as nursery:
                    self.listeners[address] = lambda stream: nursery.start_soon(
                        _serve, handler, stream
                    )
                    task_status.started(address)
                    await trio.sleep_forever()
            finally:
                self.listeners.pop(address, None)

        return Network(connect=connect, listen=listen)

    def _silenceable(self, stream, ends):
        wrapped = SilenceableStream(stream, ends)
        self.streams.append(wrapped)
        return wrapped


async def _serve(handler, stream):
    try:
        await handler(stream)
    finally:
        await trio.aclose_forcefully(stream)


@asynccontextmanager
async def running_fleet(layout, bundle, options=None, recorder=None):
    """Yield a fleet whose nodes all serve; ``recorder`` is notified of its events."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            nursery, layout, bundle, options or {}, recorder or NullRecorder()
        )
        await fleet.start()
        yield fleet
        nursery.cancel_scope.cancel()
