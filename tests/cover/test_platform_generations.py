"""What a node does at a change of the store's generation, and what it doesn't."""

import trio

from jacinthshed.internal.bundle.read_scheduler import RELIST_MS
from jacinthshed.internal.discovery import directory as directory_module
from jacinthshed.internal.discovery.directory import Directory
from jacinthshed.internal.discovery.source_revision import SourceRevision, to_ordinal
from jacinthshed.internal.discovery.target_entry import EntryChange
from jacinthshed.internal.node.clock import trio_now_ms
from jacinthshed.internal.platform.store import StoreErrorKind
from jacinthshed.internal.standin.store_state import StoredItem, StoreFaultMode
from tests.common.fleet import run_virtual
from tests.common.machines import entry_of
from tests.common.restored_store import listed, target_updates
from tests.common.store_feeds import FeedRecorder, run_scenario


def test_a_watch_waits_again_once_the_store_has_answered():
    async def scenario(state, store):
        feeds = FeedRecorder(store)
        (await feeds.targets.read()).unwrap()()
        state.faults.append(StoreFaultMode.BUSY)
        (await feeds.targets.watch(1_000)).failure()
        waits_s = []
        for _ in range(2):
            started_s = trio.current_time()
            (await feeds.targets.watch(1_000)).unwrap()()
            waits_s.append(round(trio.current_time() - started_s))
        assert waits_s == [0, 1]

    run_scenario(scenario)


def test_a_first_reading_is_not_logged_as_a_restore():
    async def scenario(state, store):
        state.restore(state.copy())
        feeds = FeedRecorder(store)
        (await feeds.targets.read()).unwrap()()
        assert feeds.lines == []

    run_scenario(scenario)


def test_an_outdated_first_reading_without_items_is_not_read_again():
    async def scenario(state, store):
        state.restore(state.copy())
        feeds = FeedRecorder(store, starts_stale=True)
        (await feeds.targets.read()).unwrap()()
        state.put("servers/p", entry_of("p", "10.0.0.1", "b"))
        (await feeds.targets.watch(1_000)).unwrap()()
        assert feeds.ids == {"p"}
        assert state.calls == ["/kv-range?stale", "/kv-watch"]

    run_scenario(scenario)


def test_a_revision_that_does_not_fit_into_an_ordinal_is_not_used():
    async def scenario(state, store):
        value = entry_of("p", "10.0.0.1", "b")
        state.items["servers/p"] = StoredItem("servers/p", 2**40, value)
        assert (await store.read_prefix("servers/", False)).unwrap().items == ()
        state.revision = 2**40
        error = (await store.read_prefix("servers/", False)).failure()
        assert error.kind is StoreErrorKind.MALFORMED

    run_scenario(scenario)


def test_an_entry_written_after_a_restore_ends_a_removal_at_once():
    directory = Directory()
    directory.apply(5, [listed("p", 0, 5), listed("q", 0, 4)])
    directory.apply(6, [EntryChange("servers/p", 6, None)])
    change = listed("p", 1, 7)
    directory.apply(change.revision, [change])
    assert [found.target_id for found in directory.targets("b")] == ["p"]


def test_a_target_known_to_be_leaving_gets_no_work_when_a_copy_lists_it():
    directory = Directory()
    directory.apply(6, [listed("p", 0, 6, state="draining")])
    change = listed("p", 1, 5)
    directory.apply(change.revision, [change])
    assert not directory.targets("b")
    assert directory.target_at("10.0.0.9:4").leaving


def test_starts_of_evicted_targets_are_not_retained(monkeypatch):
    monkeypatch.setattr(directory_module, "MAX_REMOVED", 2)
    directory = Directory()
    for number in range(9):
        key = f"p{number}"
        directory.apply(2 * number + 1, [listed(key, 0, 2 * number + 1)])
        removal = EntryChange(f"servers/{key}", 2 * number + 2, None)
        directory.apply(removal.revision, [removal])
    assert len(directory._started_ms) == 2


def test_a_node_without_targets_does_not_wait_for_its_first_reading():
    async def main():
        directory = Directory()
        change = listed("p", 3, 5)
        target_updates(directory).replace(change.revision, [change])
        assert len(directory.targets("b")) == 1

    run_virtual(main)


def test_a_restore_does_not_shorten_the_wait_after_an_outage():
    async def main():
        directory = Directory()
        updates = target_updates(directory)
        updates.change(5, [listed("p", 0, 5)])
        updates.change(to_ordinal(SourceRevision(1, 4)), [])
        await trio.sleep(1.5)
        complete_from_ms = trio_now_ms() + RELIST_MS
        updates.source_answered(complete_from_ms)
        updates.replace(to_ordinal(SourceRevision(1, 5)), [])
        assert updates.take_read_again_ms() == complete_from_ms
        await trio.sleep(RELIST_MS / 1_000 - 0.1)
        updates.replace(to_ordinal(SourceRevision(1, 6)), [])
        assert updates.take_read_again_ms() == complete_from_ms
        assert len(directory.targets("b")) == 1
        await trio.sleep(0.2)
        updates.replace(to_ordinal(SourceRevision(1, 7)), [])
        assert not directory.targets("b")
        assert updates.take_read_again_ms() is None

    run_virtual(main)


def test_a_node_below_the_first_reading_of_another_gets_all_its_targets():
    directory = Directory()
    directory.replace(7, [listed("p", 0, 3), listed("q", 0, 7)])
    directory.apply(9, [listed("r", 0, 9)])
    assert not directory.has_all_changes_above(6)
    keys = [change.key for change in directory.changes_above(0)]
    assert keys == ["servers/p", "servers/q", "servers/r"]
    assert directory.has_all_changes_above(7)
    assert [change.key for change in directory.changes_above(7)] == ["servers/r"]
    assert directory.has_all_changes_above(0)
    empty = Directory()
    assert empty.has_all_changes_above(0)
