"""One entry of another writer, with an address that can't be read, ends every node."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand import CouldNotRunError, KeptClient, config, play, route

NODES = 3
SLOTS = 20
WORK_S = 0.3
CLIENTS = 8
DEADLINE_MS = 3_000
STEADY_S = 3.0
WATCHED_S = 30.0
RESTART_DELAY_S = 0.5
# LOST: more than three times; Fault: three ends on two machines at least.
ALLOWED_CLOSES = 3
ENDS = 3
# The letter U+FFFD stands for bytes that could not be read.
ODD_ENTRY = {
    "service": "unknown",
    "address": "[fe80::1%\ufffd]:8301",
    "zone": "zone-a",
    "version": "v1",
    "slots": 20,
    "state": "ready",
    "cold_left_s": 0,
    "seq": 1,
}


async def play_case(fleet, trouble):
    """Let clients send orders, and write one odd entry into the store."""
    for _ in range(NODES):
        await fleet.add("taller", slots=SLOTS, work_s=WORK_S)
    routes = [
        route(
            "order", "taller", kind="non_idempotent", timeout_s=3, slo_s=1, priority=0
        )
    ]
    await fleet.start(config(routes, {"taller": 460}))
    clients = [
        KeptClient(fleet.record, node.entry, f"c{number}n{index}")
        for index, node in enumerate(fleet.nodes)
        for number in range(CLIENTS)
    ]
    sending = [
        asyncio.ensure_future(
            client.run("POST", "shop.example", "/order/", DEADLINE_MS, b"{}")
        )
        for client in clients
    ]
    await asyncio.sleep(STEADY_S)
    if trouble:
        fleet.store.put("servers/i-odd", ODD_ENTRY)
        fleet.record.write("another writer's entry is in the store")
    keeping = [
        asyncio.ensure_future(_keep_running(fleet, node)) for node in fleet.nodes
    ]
    await asyncio.sleep(WATCHED_S)
    for task in (*keeping, *sending):
        task.cancel()
    await asyncio.gather(*keeping, *sending, return_exceptions=True)
    return _judge(fleet, clients)


async def _keep_running(fleet, node):
    """Restart a process that ended by itself, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        code = node.child.poll()
        if code is None:
            continue
        node.exits.append(code)
        fleet.record.write(f"node {node.target.ip} ended by itself with {code}")
        await asyncio.sleep(RESTART_DELAY_S)
        node.start(first_start=False)


def _judge(fleet, clients):
    if not any(client.answers.get(200) for client in clients):
        raise CouldNotRunError("no order was served")
    if any(code == -signal.SIGKILL for node in fleet.nodes for code in node.exits):
        raise CouldNotRunError("something else killed a node")
    passed_on = {
        attempt for target in fleet.targets for _, attempt, _ in target.arrivals
    }
    breaches = []
    for node in fleet.nodes:
        closes = [
            attempt
            for client in clients
            if client.address == node.entry
            for attempt in client.closed_without_answer
            if attempt in passed_on
        ]
        fleet.record.write(
            f"node {node.target.ip}: ended by itself {len(node.exits)} times, closed"
            f" {len(closes)} connections with a request that was passed on"
        )
        if len(closes) > ALLOWED_CLOSES:
            breaches.append(
                f"LOST node {node.target.ip} passed {len(closes)} requests on and"
                " closed their connections without an answer"
            )
    often = [node for node in fleet.nodes if len(node.exits) >= ENDS]
    if len(often) > 1:
        fleet.record.write(f"Fault: {len(often)} nodes ended three times or more")
    return breaches


play(__file__, play_case)
