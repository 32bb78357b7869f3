"""Targets whose entries a restored store has lost, or lists again."""

import trio

from jacinthshed.internal.discovery.directory import Directory
from jacinthshed.internal.discovery.publication import Sinks
from jacinthshed.internal.discovery.source_revision import SourceRevision, to_ordinal
from jacinthshed.internal.discovery.target_entry import EntryChange
from jacinthshed.internal.platform.feeds import targets_feed
from tests.common.fleet import run_virtual
from tests.common.machines import entry_of, machines
from tests.common.restored_store import (
    SIX,
    THREE,
    hosts_of,
    listed,
    take_down,
    target_updates,
    write_entry,
)
from tests.common.store_feeds import PEER_PORT, run_scenario


def test_a_node_that_starts_after_a_restore_removes_live_targets_everywhere():
    # The new node learned of the target from peers before it read the store itself.
    async def main():
        async with machines(SIX) as fleet:
            copy = fleet.store.copy()
            await fleet.add("10.0.0.9", "b")
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=0.2)
            await fleet.start_node("10.0.0.8", "a", seeds=["10.0.0.1"])
            for tenth in range(40):
                if tenth == 15:
                    write_entry(fleet, "10.0.0.9")
                for ip in SIX:
                    assert "10.0.0.9" in hosts_of(fleet, ip)
                await trio.sleep(0.1)

    run_virtual(main)


def test_a_node_that_reads_long_after_a_restore_learns_late_that_a_target_leaves():
    # Peers told it of the restored directory; its own feed still had an old revision.
    async def scenario(state, store):
        directory = Directory()
        updates = target_updates(directory)
        sinks = Sinks(lambda document: None, print, updates.replace, updates.change)
        feed = targets_feed(store, sinks, lambda event, **fields: None, PEER_PORT)
        state.put("servers/p", entry_of("p", "10.0.0.9", "b"))
        (await feed.read()).unwrap()()
        state.restore(state.copy())
        updates.change(to_ordinal(SourceRevision(1, 2)), [listed("p", 1, 2)])
        await trio.sleep(60)
        state.put("servers/p", entry_of("p", "10.0.0.9", "b", state="draining"))
        (await feed.watch(1_000)).unwrap()()
        assert not directory.targets("b")

    run_scenario(scenario)


def test_a_target_that_left_gets_work_again_after_a_second_restore():
    # The second copy lists it too; nothing has shown meanwhile that it runs.
    async def main():
        async with machines(THREE) as fleet:
            copy = fleet.store.copy()
            fleet.store.delete("servers/i-10.0.0.2")
            await trio.sleep(2)
            for _ in range(2):
                fleet.store.restore(copy)
                await take_down(fleet, for_s=1)
                await trio.sleep(4)
            for ip in THREE:
                assert hosts_of(fleet, ip) == ["10.0.0.3"]

    run_virtual(main)


def test_a_target_listed_by_a_second_copy_gets_work_before_its_entry_expires():
    # The time until its entry expires begins anew with each restore.
    async def main():
        async with machines(THREE) as fleet:
            copy = fleet.store.copy()
            fleet.store.delete("servers/i-10.0.0.2")
            await trio.sleep(2)
            for pause_s in (11, 9):
                fleet.store.restore(copy)
                await take_down(fleet, for_s=1)
                await trio.sleep(pause_s)
            for ip in THREE:
                assert hosts_of(fleet, ip) == ["10.0.0.3"]

    run_virtual(main)


def test_a_target_that_is_listed_long_after_a_restore_never_gets_work():
    # Targets that were listed again at the restore itself were released long before.
    async def main():
        directory = Directory()
        updates = target_updates(directory)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(updates.run)
            left = [EntryChange(f"servers/{key}", 9, None) for key in "pq"]
            updates.change(9, left)
            updates.change(listed("p", 1, 5).revision, [listed("p", 1, 5)])
            await trio.sleep(60)
            updates.change(listed("q", 1, 6).revision, [listed("q", 1, 6, born=2)])
            await trio.sleep(20)
            assert [found.target_id for found in directory.targets("b")] == ["q"]
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_a_target_that_started_again_under_its_id_gets_no_work_after_a_restore():
    # Its entry has a later start, but a lower revision than its removal had.
    async def main():
        async with machines(THREE) as fleet:
            copy = fleet.store.copy()
            for number in range(5):
                fleet.store.put("other/x", b"%d" % number)
            fleet.store.delete("servers/i-10.0.0.2")
            await trio.sleep(2)
            fleet.store.restore(copy)
            write_entry(fleet, "10.0.0.2", born=2)
            await take_down(fleet, for_s=1)
            await trio.sleep(4)
            for ip in THREE:
                assert hosts_of(fleet, ip) == ["10.0.0.2", "10.0.0.3"]

    run_virtual(main)


def test_nodes_that_first_ask_a_node_that_just_started_miss_a_removal():
    # The new node read the store before its peers, and never knew the target.
    async def main():
        async with machines(SIX) as fleet:
            copy = fleet.store.copy()
            await fleet.add("10.0.0.9", "b")
            await trio.sleep(6)
            fleet.store.restore(copy)
            await trio.sleep(1.5)
            await fleet.add("10.0.1.1", "a")
            await trio.sleep(30)
            for ip in (*SIX, "10.0.1.1"):
                assert "10.0.0.9" not in hosts_of(fleet, ip)

    run_virtual(main)
