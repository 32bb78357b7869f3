"""A node that is stopped as planned drops requests that wait at a target's node."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand import BOUNDS, Client, CouldNotRunError, config, play, route

SERVICE = "taller"
SLOTS = 8
WORK_S = 0.1
# Two targets serve 160 requests a second. Orders take nearly all of that.
ORDERS_PER_S = 152
LOOKUPS_PER_S = 4
LOOKUPS_AT_STOPPED_PER_S = 16
DEADLINE_MS = 5_000
WARM_UP_S = 8.0
# The platform sends a machine's clients elsewhere after two missed questions.
CLIENTS_STAY_S = 2.0
AFTER_S = 9.0


async def play_case(fleet, trouble):
    """Keep two targets busy, then stop one of two entry nodes."""
    for _ in range(2):
        await fleet.add(SERVICE, slots=SLOTS, work_s=WORK_S)
    busy = await fleet.add("front", slots=SLOTS, work_s=WORK_S)
    stopped = await fleet.add("front", slots=SLOTS, work_s=WORK_S)
    routes = [
        route(
            "order", SERVICE, kind="non_idempotent", timeout_s=5, slo_s=1, priority=0
        ),
        route("lookup", SERVICE, kind="idempotent", timeout_s=5, slo_s=1, priority=2),
    ]
    await fleet.start(config(routes, {SERVICE: 460, "front": 460}))
    load = _Load(fleet)
    steady = [
        asyncio.ensure_future(load.run(busy, "o", "POST", "/order/", ORDERS_PER_S)),
        asyncio.ensure_future(load.run(busy, "l", "GET", "/lookup/", LOOKUPS_PER_S)),
    ]
    clients = asyncio.ensure_future(
        load.run(stopped, "x", "GET", "/lookup/", LOOKUPS_AT_STOPPED_PER_S)
    )
    await asyncio.sleep(WARM_UP_S)
    stop_s = fleet.record.now_s()
    if trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(CLIENTS_STAY_S)
    clients.cancel()
    await asyncio.sleep(AFTER_S)
    for task in steady:
        task.cancel()
    answers = await asyncio.gather(*load.sends)
    return _judge(fleet, answers, stop_s)


class _Load:
    """Requests at a steady rate, whether or not earlier ones were answered."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.sends = []

    async def run(self, node, mark, method, path, per_s):
        client = Client(self.fleet.record, node.entry)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        number = 0
        while True:
            number += 1
            sending = client.send(
                f"{mark}{number:05d}",
                method,
                "shop.example",
                f"{path}{number}",
                deadline_ms=DEADLINE_MS,
                body=b"{}" if method == "POST" else b"",
            )
            self.sends.append(asyncio.ensure_future(sending))
            await asyncio.sleep(max(0, started_s + number / per_s - loop.time()))


def _judge(fleet, answers, stop_s):
    counts = {}
    for answer in answers:
        key = (answer.attempt[0], answer.status)
        counts[key] = counts.get(key, 0) + 1
    fleet.record.write(f"answers by sender and status: {counts}")
    if not counts.get(("o", 200)):
        raise CouldNotRunError("no order was served")
    reached = {attempt for target in fleet.targets for _, attempt, _ in target.arrivals}
    breaches = []
    for answer in answers:
        if answer.status or answer.attempt[0] != "x":
            continue
        waited_s = answer.ended_s - answer.sent_s
        # A request that crossed the close wasn't read; one that a target works on at
        # the end of the grace period is excused.
        if waited_s <= BOUNDS["lost_s"] or answer.attempt in reached:
            continue
        if waited_s >= DEADLINE_MS / 1_000:
            continue
        breaches.append(
            f"LOST {answer.attempt} was sent {answer.sent_s - stop_s:.2f} s after"
            " SIGTERM, reached no target and lost its connection after"
            f" {waited_s:.2f} s ({answer.error})"
        )
    return breaches


play(__file__, play_case)
