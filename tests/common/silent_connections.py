"""Machines whose open connections go silent while new ones work."""

import random
from contextlib import asynccontextmanager

import trio

from jacinthshed.internal.http.network import Network
from jacinthshed.internal.standin.store_state import StoreFaultMode
from tests.common.machines import STORE, Machines, desired_state, entry_of
from tests.common.streams import SilenceableStream

SERVICES = "abcd"
PEER_PORT = ":3"


class SilentMachines(Machines):
    """Machines in three availability zones, whose open connections can go silent."""

    def __init__(self, nursery, *, seed):
        super().__init__(nursery, seed=seed)
        self.streams = []
        self._drops_connects = False
        self.network = Network(self._connect, self.network.listen)
        self.ips = [f"10.{zone}.0.{15 + n}" for zone in (1, 2, 3) for n in range(4)]

    async def _connect(self, address):
        retransmission_s = 1
        while self._drops_connects and address == STORE:
            await trio.sleep(retransmission_s)
            retransmission_s *= 2
        stream = await self.memory_network.connect(address)
        self.streams.append(SilenceableStream(stream, address))
        return self.streams[-1]

    async def add_all(self):
        """Start the machines, each with a target of one of four services."""
        for number, ip in enumerate(self.ips):
            await self.add(ip, SERVICES[number % 4], zone=self.zone_of(ip))

    def zone_of(self, ip):
        """Return the availability zone of the machine ``ip``."""
        return f"west-{ip.split('.')[1]}"

    def go_silent(self, *, store=True, peers=True):
        """Let open connections deliver nothing any more, without an error."""
        for stream in self.streams:
            is_peer = stream.ends.endswith(PEER_PORT)
            if (store and stream.ends == STORE) or (peers and is_peer):
                stream.silent = True

    async def silence_store(self, *, for_s, expire_entries=False, drops_connects=False):
        """Let the store neither answer on open connections nor on new ones.

        With ``expire_entries``, no target can renew its entry meanwhile. With
        ``drops_connects``, new connections are not accepted; TCP opens them when it
        tries again after the outage.
        """
        self.go_silent(peers=False)
        self._drops_connects = drops_connects
        self.store.faults.extend([StoreFaultMode.SILENT] * 10_000)
        await trio.sleep(for_s)
        if expire_entries:
            self.expire_entries()
        self._drops_connects = False
        self.store.faults.clear()

    def expire_entries(self):
        """Remove the entries of all targets."""
        for ip in self.ips:
            self.store.delete(f"servers/i-{ip}")

    async def list_again(self, *, within_s):
        """Let each target write its entry again, at a random time."""
        moments = random.Random(self.seed)
        for ip in self.ips:
            self.nursery.start_soon(self._list_one, ip, within_s * moments.random())

    async def _list_one(self, ip, after_s):
        await trio.sleep(after_s)
        service = SERVICES[self.ips.index(ip) % 4]
        entry = entry_of(f"i-{ip}", ip, service, zone=self.zone_of(ip))
        self.store.put(f"servers/i-{ip}", entry)

    def nodes_without_targets(self):
        """Return the machines on which a service has no target that takes work."""
        return {
            ip
            for ip, node in self.nodes.items()
            for service in SERVICES
            if not node._components.state.directory.targets(service)
        }

    def outdated(self, version):
        """Return the machines on which ``version`` is not in force."""
        return [
            ip
            for ip, node in self.nodes.items()
            if node._components.holder.order.version != version
        ]


@asynccontextmanager
async def silent_machines(seed):
    """Run machines that have just put version 2 of a policy in force.

    ``seed`` varies the choices of the nodes and the time since that change.
    """
    async with trio.open_nursery() as nursery:
        fleet = SilentMachines(nursery, seed=seed)
        await fleet.start_store()
        fleet.store.put("op/config", desired_state(1))
        await fleet.add_all()
        moments = random.Random(seed)
        await trio.sleep(10 + 5 * moments.random())
        fleet.store.put("op/config", desired_state(2))
        await trio.sleep(3 * moments.random())
        yield fleet
        nursery.cancel_scope.cancel()
