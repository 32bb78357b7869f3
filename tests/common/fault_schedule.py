"""Schedules of requests and faults, and how each step is carried out."""

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
    key: int
    entry: int
    keep_fence: bool


class Wait(NamedTuple):
    wait_ms: int


class Silence(NamedTuple):
    one: int
    other: int


class Part(NamedTuple):
    alone: int


class Heal(NamedTuple):
    pass


class Restart(NamedTuple):
    host: int


class CrashBackend(NamedTuple):
    host: int


class Skew(NamedTuple):
    host: int
    offset_ms: int


class Leave(NamedTuple):
    host: int


def steps(hosts):
    """Return a strategy of single steps on a fleet of ``hosts`` hosts."""
    host = st.integers(0, hosts - 1)
    order = st.builds(Order, st.integers(0, KEYS - 1), host, st.booleans())
    wait = st.builds(Wait, st.sampled_from([1, 20, 100, 400, 2_000]))
    return st.one_of(
        *(order for _ in range(ORDER_WEIGHT)),
        *(wait for _ in range(WAIT_WEIGHT)),
        st.builds(Silence, host, host),
        st.builds(Part, host),
        st.just(Heal()),
        st.builds(Restart, host),
        st.builds(CrashBackend, host),
        st.builds(Skew, host, st.integers(-MAX_SKEW_MS, MAX_SKEW_MS)),
        st.builds(Leave, host),
    )


class FaultRun:
    """Carries out the steps of one schedule on a running fleet."""

    def __init__(self, fleet, nursery):
        self.fleet = fleet
        self.clients = {}
        self._names = list(fleet.hosts)
        self._nursery = nursery
        self._first_sent_s = {}

    async def take(self, step):
        """Carry out one step."""
        await getattr(self, f"_{type(step).__name__.lower()}")(step)

    async def settle(self):
        """Heal everything and wait until all is quiet."""
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

    async def _part(self, step):
        alone = self._names[step.alone]
        self.fleet.part([alone], [name for name in self._names if name != alone])

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
