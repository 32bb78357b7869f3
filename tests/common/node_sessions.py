"""Sessions of simulated fleets that are recorded in golden files."""

import trio

from jacinthshed.internal.http.message import Request
from tests.common.fleet import run_virtual, running_fleet
from tests.common.policies import (
    THREE_DEEP_LAYOUT,
    THREE_DEEP_OPTIONS,
    route,
    single_bundle,
    single_layout,
    three_deep_bundle,
)
from tests.common.session_record import SessionRecorder

SCHEDULING_SEED = 7
HOST = (b"host", b"callers")


def run_session(session):
    """Return the recorded lines of ``session``; the result is deterministic."""
    trio._core._run._r.seed(SCHEDULING_SEED)
    recorder = SessionRecorder()
    run_virtual(session, recorder)
    return recorder.lines


def _orders(**options):
    shared = {"service_ms": 100.0, "spread": 0.0, "answer_bytes": 0}
    return {"orders": {**shared, **options}}


def _lookup(number=0, *fields):
    return Request(b"GET", b"/orders/lookup?id=%d" % number, (HOST, *fields))


def _order(key, fence=""):
    fields = [HOST, (b"idempotency-key", key.encode())]
    if fence:
        fields.append((b"jacinthshed-fence", fence.encode()))
    return Request(b"POST", b"/orders/book", tuple(fields))


async def lookup_and_order(recorder):
    """A lookup and an order, each through three services."""
    options = {
        name: {"answer_bytes": 0, **THREE_DEEP_OPTIONS.get(name, {})}
        for name in ("orders", "parts", "schedules")
    }
    async with running_fleet(
        THREE_DEEP_LAYOUT, three_deep_bundle(), options, recorder
    ) as fleet:
        caller = fleet.caller("orders-0")
        await caller.request("GET", "/orders/lookup")
        await caller.request("POST", "/orders/book", key=caller.new_key())


async def shed_lookups(recorder):
    """Lookups fill a target's queue; a later order is served before them."""
    bundle = single_bundle(
        services={"orders": {"slots": 1, "connections": 10, "queue": 2}}
    )
    async with (
        running_fleet(single_layout(1), bundle, _orders(slots=2), recorder) as fleet,
        trio.open_nursery() as nursery,
    ):
        for number in range(5):
            nursery.start_soon(fleet.send, "orders-0", _lookup(number))
        await trio.sleep(0.01)
        caller = fleet.caller("orders-0")
        await caller.request("POST", "/orders/book", key=caller.new_key())


async def leave_with_work(recorder):
    """A host leaves while an order runs there."""
    async with (
        running_fleet(
            single_layout(2), single_bundle(), _orders(service_ms=1_000.0), recorder
        ) as fleet,
        trio.open_nursery() as nursery,
    ):
        caller = fleet.caller("orders-0")

        async def order(key):
            await caller.request("POST", "/orders/book", key=key, first_use=True)

        for key in ("key-0", "key-1"):
            nursery.start_soon(order, key)
        await trio.sleep(0.2)
        recorder.note("(session)", "orders-1 begins to leave")
        fleet["orders-1"].node.leave()
        await trio.sleep(0.6)
        nursery.start_soon(order, "key-3")
        await fleet["orders-1"].node_ended.wait()
        recorder.note("(session)", "the node of orders-1 has ended")


async def silent_link(recorder):
    """The link to an order's target goes silent while the order runs."""
    async with (
        running_fleet(
            single_layout(2), single_bundle(), _orders(service_ms=300.0), recorder
        ) as fleet,
        trio.open_nursery() as nursery,
    ):
        caller = fleet.caller("orders-0")

        async def order(key):
            await caller.request("POST", "/orders/book", key=key, first_use=True)

        for key in ("key-0", "key-1"):
            nursery.start_soon(order, key)
        await trio.sleep(0.1)
        recorder.note("(session)", "the links between the hosts go silent")
        fleet.silence("orders-0", "orders-1")


async def crash_and_quarantine(recorder):
    """A request crashes backend servers until it is refused; others still run."""
    async with running_fleet(
        single_layout(3), single_bundle(), _orders(), recorder
    ) as fleet:
        for number in range(4):
            for host in fleet.hosts.values():
                if host.backend_is_down:
                    await host.start_backend()
            entry = f"orders-{number % 3}"
            await fleet.send(entry, _lookup(0, (b"x-crash", b"1")))
            await fleet.send(entry, _lookup(1))
            await trio.sleep(0.5)


async def new_bundle_and_clash(recorder):
    """A new bundle, then one of the same version from another operator."""
    async with running_fleet(
        single_layout(3), single_bundle(), _orders(), recorder
    ) as fleet:
        recorder.note("(session)", "ops signs version 2")
        fleet.publish(version=2)
        await trio.sleep(10)
        recorder.note("(session)", "deputy signs version 2 as well")
        routes = {
            "lookup": route("orders", 4, True),
            "book": route("orders", 1, False, method="POST"),
        }
        fleet.publish("deputy", routes=routes)
        await trio.sleep(10)
        recorder.note("(session)", "ops signs version 3 and settles it")
        fleet.publish("ops", version=3)
        await trio.sleep(10)
        recorder.note("(session)", f"versions in force: {fleet.versions()}")


async def lost_fence(recorder):
    """A caller resends an order without its fence, before and after hosts are lost."""
    async with running_fleet(
        single_layout(5), single_bundle(), _orders(), recorder
    ) as fleet:
        await fleet.send("orders-0", _order("key-0", fence="new"))
        recorder.note("(session)", "the caller lost the fence of key-0")
        await fleet.send("orders-1", _order("key-0"))
        recorder.note("(session)", "orders-3 and orders-4 are lost")
        fleet["orders-3"].kill_node()
        fleet["orders-4"].kill_node()
        await trio.sleep(20)
        await fleet.send("orders-2", _order("key-0"))
        await fleet.send("orders-1", _order("key-1"))


SESSIONS = {
    "lookup_and_order": lookup_and_order,
    "shed_lookups": shed_lookups,
    "leave_with_work": leave_with_work,
    "silent_link": silent_link,
    "lost_fence": lost_fence,
    "crash_and_quarantine": crash_and_quarantine,
    "new_bundle_and_clash": new_bundle_and_clash,
}
