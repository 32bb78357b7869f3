"""Machines whose open connections go silent while new ones work."""

import random
from contextlib import asynccontextmanager

import trio

from jacinthshed.internal.http.network import Network
from jacinthshed.internal.standin.store_state import StoreFaultMode
from tests.common.machines import STORE, Machines, desired_state
from tests.common.streams import SilenceableStream

SERVICES = "abcd"


class SilentMachines(Machines):
    """Machines in three availability zones, whose open connections can go silent."""

    def __init__(self, nursery, *, seed):
        super().__init__(nursery, seed=seed)
        self.streams = []
        self.network = Network(self._connect, self.network.listen)
        self.ips = [f"10.{zone}.0.{15 + n}" for zone in (1, 2, 3) for n in range(4)]

    async def _connect(self, address):
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
            if store if stream.ends == STORE else peers:
                stream.silent = True

    async def silence_store(self, *, for_s):
        """Let the store neither answer on open connections nor on new ones."""
        self.go_silent(peers=False)
        self.store.faults.extend([StoreFaultMode.SILENT] * 10_000)
        await trio.sleep(for_s)
        self.store.faults.clear()

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
