"""Schedules of requests and faults, and their execution on a fleet."""

from typing import NamedTuple

import trio
from hypothesis import strategies as st

from tests.common.order_client import OrderClient

KEYS = 2
ORDER_WEIGHT = 8
WAIT_WEIGHT = 3
MAX_RESEND_AGE_S = 4.0
SETTLE_S = 12.0
DOWN_S = 0.05
MAX_SKEW_MS = 200


class Order(NamedTuple):
    """Sends the order of a key to an entry, with its last fence if kept."""

    key: int
    entry: int
    keep_fence: bool


class Wait(NamedTuple):
    """Waits ``wait_ms``."""

    wait_ms: int


class Silence(NamedTuple):
    """Drops all further data on open connections between two hosts."""

    one: int
    other: int


class Partition(NamedTuple):
    """Partitions one host from all others."""

    isolated: int


class Heal(NamedTuple):
    # Ends all partitions.
    pass


class Restart(NamedTuple):
    """Kills the node of a host and starts it again."""

    host: int


class CrashBackend(NamedTuple):
    """Crashes the backend server of a host and starts it again."""

    host: int


class Skew(NamedTuple):
    """Sets the offset of a host's wall clock."""

    host: int
    offset_ms: int


class Leave(NamedTuple):
    """Shuts the node of a host down gracefully and starts it again."""

    host: int


def steps(hosts):
    """Return a strategy for one step on a fleet of ``hosts`` hosts."""
    host = st.integers(0, hosts - 1)
    order = st.builds(Order, st.integers(0, KEYS - 1), host, st.booleans())
    wait = st.builds(Wait, st.sampled_from([1, 20, 100, 400, 2_000]))
    return st.one_of(
        *(order for _ in range(ORDER_WEIGHT)),
        *(wait for _ in range(WAIT_WEIGHT)),
        st.builds(Silence, host, host),
        st.builds(Partition, host),
        st.just(Heal()),
        st.builds(Restart, host),
        st.builds(CrashBackend, host),
        st.builds(Skew, host, st.integers(-MAX_SKEW_MS, MAX_SKEW_MS)),
        st.builds(Leave, host),
    )


class FaultRun:
    """Executes the steps of one schedule on a running fleet."""

    def __init__(self, fleet, nursery):
        self.fleet = fleet
        self.clients = {}
        self._names = list(fleet.hosts)
        self._nursery = nursery
        self._first_sent_s = {}

    async def apply(self, step):
        """Execute one step."""
        await getattr(self, f"_{type(step).__name__.lower()}")(step)

    async def settle(self):
        """End all partitions and wait ``SETTLE_S`` for requests to end."""
        self.fleet.heal()
        await trio.sleep(SETTLE_S)

    async def _order(self, step):
        key = f"key-{step.key}"
        now_s = trio.current_time()
        first_s = self._first_sent_s.setdefault(key, now_s)
        if now_s - first_s > MAX_RESEND_AGE_S:
            return
        client = self.clients.setdefault(key, OrderClient(self.fleet, key))
        entry = self._names[step.entry]

        async def send():
            await client.send(entry, keep_fence=step.keep_fence)

        self._nursery.start_soon(send)

    async def _wait(self, step):
        await trio.sleep(step.wait_ms / 1_000)

    async def _silence(self, step):
        self.fleet.silence(self._names[step.one], self._names[step.other])

    async def _partition(self, step):
        isolated = self._names[step.isolated]
        self.fleet.partition(
            [isolated], [name for name in self._names if name != isolated]
        )

    async def _heal(self, step):
        self.fleet.heal()

    async def _restart(self, step):
        host = self.fleet[self._names[step.host]]
        if not host.is_starting:
            host.is_starting = True
            self._nursery.start_soon(self._kill_and_start, host)

    async def _kill_and_start(self, host):
        host.kill_node()
        await host.node_ended.wait()
        await trio.sleep(DOWN_S)
        await host.start_node()
        host.is_starting = False

    async def _crashbackend(self, step):
        host = self.fleet[self._names[step.host]]
        if host.backend_is_down:
            return
        host.crash_backend()
        await trio.sleep(0.05)
        await host.start_backend()

    async def _skew(self, step):
        self.fleet[self._names[step.host]].wall_offset_ms = step.offset_ms

    async def _leave(self, step):
        host = self.fleet[self._names[step.host]]
        if not host.is_starting:
            host.is_starting = True
            self._nursery.start_soon(self._leave_and_start, host)

    async def _leave_and_start(self, host):
        host.node.leave()
        await host.node_ended.wait()
        await host.start_node()
        host.is_starting = False
