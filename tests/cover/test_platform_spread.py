"""Gossip carries the directory of targets to nodes that don't read the store."""

import random
from collections import Counter
from functools import partial

import trio

from jacinthshed.internal.discovery.target_entry import EntryChange
from jacinthshed.internal.standin.store_state import StoreFaultMode
from jacinthshed.internal.wire.codec import FrameBuffer, encode
from jacinthshed.internal.wire.targets import TargetsData, TargetsList
from tests.common.fleet import run_virtual
from tests.common.machines import (
    Machines,
    desired_state,
    entry_of,
    machines,
    request,
)
from tests.cover.test_discovery_directory import entry

SIX = {f"10.0.0.{number}": "ab"[number % 2] for number in range(1, 7)}


def test_few_nodes_watch_and_all_learn_of_a_leaving_target_within_a_second():
    async def main():
        async with machines(SIX) as fleet:
            await trio.sleep(10)
            fleet.store.calls.clear()
            await trio.sleep(20)
            # Two readers and two keys, with watches of five seconds, in 20 seconds.
            assert len(fleet.store.calls) <= 2 * 2 * 5
            leaving = entry_of("i-10.0.0.1", "10.0.0.1", "b", state="draining")
            fleet.store.put("servers/i-10.0.0.1", leaving)
            await trio.sleep(1)
            for ip in SIX:
                directory = fleet.nodes[ip]._components.state.directory
                assert directory.target_at("10.0.0.1:4").leaving

    run_virtual(main)


def test_a_fleet_that_starts_and_grows_calls_the_store_seldom():
    """Targets and policy that appear after the nodes cost few calls each."""
    layout = {f"10.0.{n % 4}.{n}": "ab"[n % 2] for n in range(1, 25)}

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Machines(nursery)
            await fleet.start_store()
            for number, (ip, service) in enumerate(layout.items()):
                zone = f"west-{number % 4}"
                nursery.start_soon(partial(start, fleet, ip, service, zone))
            await trio.sleep(3)
            fleet.store.put("op/config", desired_state())
            await trio.sleep(20)
            calls = Counter(fleet.store.calls)
            # One outdated reading a key and node, then one watching node a zone.
            assert calls["/kv-range?stale"] <= 2 * len(layout)
            assert calls["/kv-watch"] + calls["/kv-range"] <= 150
            for ip in layout:
                answer = await fleet.send(ip, request("/lookup/1", f"l-{ip}"))
                assert answer.status == 200
            nursery.cancel_scope.cancel()

    async def start(fleet, ip, service, zone):
        await fleet.add(ip, service, zone=zone, is_listed=False, is_first_start=True)
        for cold_left_s in (3, 2, 1, 0):
            entry = entry_of(f"i-{ip}", ip, service, zone=zone, cold_left_s=cold_left_s)
            await trio.sleep(0.5 + random.random())
            fleet.store.put(f"servers/i-{ip}", entry)

    random.seed(1)
    run_virtual(main)


def test_a_node_that_the_store_refuses_gets_everything_from_its_peers():
    async def main():
        async with machines({"10.0.0.1": "a", "10.0.0.2": "b"}) as fleet:
            fleet.store.faults.extend([StoreFaultMode.BUSY] * 1_000)
            # The store does not list this host, so it needs a seed to find a peer.
            await fleet.add("10.0.0.3", "a", is_listed=False, seeds=("10.0.0.2",))
            await trio.sleep(5)
            answer = await fleet.send("10.0.0.3", request("/lookup/1", "l"))
            assert answer.status == 200
            assert fleet.targets["10.0.0.2"].runs == {"l": 1}

    run_virtual(main)


def test_the_frame_of_the_directory_is_decoded_as_it_was_encoded():
    known = EntryChange("servers/p", 8, entry("p", "a"))
    for frame_type in (TargetsData, TargetsList):
        sent = frame_type(9, (known, EntryChange("servers/q", 9, None)))
        (frame,) = FrameBuffer().feed(encode(sent))
        assert frame == sent
