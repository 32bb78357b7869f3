"""Gossip carries the directory of targets to nodes that don't read the store."""

import trio

from jacinthshed.internal.discovery.target_entry import EntryChange
from jacinthshed.internal.standin.store_state import StoreFaultMode
from jacinthshed.internal.wire.codec import FrameBuffer, encode
from jacinthshed.internal.wire.targets import TargetsData
from tests.common.fleet import run_virtual
from tests.common.machines import entry_of, machines, request
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
    data = TargetsData(9, (known, EntryChange("servers/q", 9, None)))
    (frame,) = FrameBuffer().feed(encode(data))
    assert frame == data
