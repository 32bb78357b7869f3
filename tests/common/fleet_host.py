"""One host of a simulated fleet: its backend server and its node."""

import random
from collections import Counter

import trio
import trio.testing

from jacinthshed.internal.node.builtin_integration import builtin_integration
from jacinthshed.internal.node.clock import Clock, trio_now_ms
from jacinthshed.internal.node.node import Node
from jacinthshed.internal.settings.address import Address
from jacinthshed.internal.settings.model import (
    BackendSettings,
    ListenSettings,
    NodeSettings,
    PlatformSettings,
)
from jacinthshed.internal.standin.backend import egress_calls, serve_backend
from jacinthshed.internal.standin.backend_options import BackendOptions
from jacinthshed.internal.standin.backend_state import BackendState
from jacinthshed.internal.telemetry.metrics import Metrics
from tests.common.fleet_keys import OPERATORS, virtual_wall_ms


class NullRecorder:
    """Ignores all events of a fleet; the base class of recorders."""

    def on_decision(self, host, event, fields):
        """Record one decision line of a node."""

    def start_counter(self, host):
        """Return the counter of starts by key at the backend servers of ``host``."""
        return Counter()

    def wrap_network(self, network, name):
        """Return the network that the caller ``name`` uses in place of ``network``."""
        return network


class Host:
    """One host: its backend server and its node.

    ``decisions`` holds the decision lines of the node since its last start, and
    ``metrics`` its counts.
    """

    def __init__(self, fleet, number, host, service, zone):
        self.fleet = fleet
        self.host = host
        self.service = service
        self.zone = zone
        self.ip = f"10.0.0.{number}"
        self.wall_offset_ms = 0
        self.mono_offset_ms = 0
        self.decisions = []
        self.metrics = Metrics()
        self.node = None
        self.node_ended = None
        self.is_starting = False
        self.backend = None
        self._backend_scope = None
        self._node_scope = None

    @property
    def entry(self):
        """The address of the node's entry."""
        return f"{self.ip}:1"

    @property
    def starts(self):
        """Number of starts of each key at the backend servers of this host."""
        return self.fleet.starts[self.host]

    @property
    def backend_is_down(self):
        """Whether the backend server accepts no connection."""
        return f"{self.ip}:4" not in self.fleet.listeners

    def settings(self, seeds=()):
        """Return the settings of the node, with the hosts ``seeds`` as its seeds."""
        return NodeSettings(
            host=self.host,
            availability_zone=self.zone,
            service=self.service,
            listen=ListenSettings(
                entry=Address(self.ip, 1),
                egress=Address(self.ip, 2),
                peer=Address(self.ip, 3),
            ),
            backend=BackendSettings(address=Address(self.ip, 4)),
            platform=PlatformSettings(address=Address("10.9.9.9", 80)),
            operators=OPERATORS,
            seeds=tuple(Address(self.fleet[host].ip, 3) for host in seeds),
        )

    async def start_backend(self):
        """Start a new backend server; return when it listens."""
        options = BackendOptions(
            host=self.host,
            service=self.service,
            **self.fleet.options.get(self.service, {}),
        )
        self.backend = BackendState(options=options)
        self.backend.starts = self.fleet.starts.setdefault(
            self.host, self.fleet.recorder.start_counter(self.host)
        )
        self._backend_scope = trio.CancelScope()
        network = self.fleet.network_of(self)

        async def serve(task_status):
            with self._backend_scope:
                await serve_backend(
                    self.backend,
                    network,
                    f"{self.ip}:4",
                    send_nested=egress_calls(network, f"{self.ip}:2"),
                    rng=random.Random(self.host),
                    crash=self.crash_backend,
                    task_status=task_status,
                )

        await self.fleet.nursery.start(serve)

    def crash_backend(self):
        """Stop the backend server at once, as a crash does."""
        self.fleet.crashes.append(self.host)
        # A dead process accepts no more connections.
        self.fleet.listeners.pop(f"{self.ip}:4", None)
        self._backend_scope.cancel()

    async def start_node(self, seeds=()):
        """Start the node; return when it serves."""
        self.decisions.clear()
        self.metrics = Metrics()
        settings = self.settings(seeds)
        self.node = Node(
            settings=settings,
            integration=builtin_integration(settings, OPERATORS),
            network=self.fleet.network_of(self),
            random=random.Random(f"{self.host}{trio.current_time()}"),
            log=self.log,
            metrics=self.metrics,
            clock=Clock(
                lambda: trio_now_ms() + self.mono_offset_ms,
                lambda: virtual_wall_ms() + self.wall_offset_ms,
            ),
        )
        self._node_scope = trio.CancelScope()
        self.node_ended = trio.Event()

        async def run(task_status):
            with self._node_scope:
                await self.node.run(task_status=task_status)
            self.node_ended.set()

        await self.fleet.nursery.start(run)

    def jump_clocks(self, jump_ms, *, wall_ms=None):
        """Advance this host's clocks, as if its process had been paused.

        ``wall_ms`` is the step of the wall clock if it differs from ``jump_ms``.
        """
        self.mono_offset_ms += jump_ms
        self.wall_offset_ms += jump_ms if wall_ms is None else wall_ms

    def kill_node(self):
        """Stop the node at once, without a shutdown; its state is lost."""
        self._node_scope.cancel()

    def log(self, event, **fields):
        """Store one decision line of the node."""
        self.decisions.append({"event": event, **fields})
        self.fleet.recorder.on_decision(self.host, event, fields)

    @property
    def version(self):
        """Version of the bundle in force on the node, taken from its decisions."""
        accepted = [
            entry["version"]
            for entry in self.decisions_of("bundle_offered")
            if entry["outcome"] == "accepted"
        ]
        return accepted[-1] if accepted else 0

    def decisions_of(self, event):
        """Return the decision lines of the node for ``event``."""
        return [entry for entry in self.decisions if entry["event"] == event]
