"""A store that is restored from an older copy, and gives its revisions out again."""

import json

import pytest
import trio
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.platform.store import StoreErrorKind, http_store_client
from jacinthshed.internal.standin.store_state import StoreFaultMode
from tests.common.fleet import run_virtual
from tests.common.machines import STORE, desired_state, entry_of, machines, request
from tests.common.restored_store import (
    SIX,
    THREE,
    TWO,
    directory_of,
    take_down,
    write_entry,
)
from tests.common.store_feeds import FeedRecorder, run_scenario


def test_a_change_written_again_under_a_known_revision_is_in_force_in_time():
    async def main():
        async with machines(TWO) as fleet:
            copy = fleet.store.copy()
            for number in range(6):
                fleet.store.put("other/x", b"%d" % number)
                write_entry(fleet, "10.0.0.2", slots=5 + number)
            fleet.store.put("op/config", desired_state(2))
            await trio.sleep(2)
            known = fleet.store.revision
            fleet.store.faults.extend([StoreFaultMode.BUSY] * 1_000)
            await trio.sleep(2)
            fleet.store.restore(copy)
            fleet.store.put("op/config", desired_state(3))
            while fleet.store.revision < known:
                write_entry(fleet, "10.0.0.2", slots=5)
            fleet.store.faults.clear()
            await trio.sleep(2)
            for node in fleet.nodes.values():
                assert node._components.holder.order.version == 3

    run_virtual(main)


def test_an_older_policy_in_the_copy_is_not_put_in_force():
    async def main():
        async with machines(TWO) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("op/config", desired_state(2))
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            for _ in range(50):
                await trio.sleep(0.1)
                for node in fleet.nodes.values():
                    assert node._components.holder.order.version == 2
            offers = [
                (line["outcome"], line["version"])
                for line in fleet.logs["10.0.0.1"]
                if line["event"] == "bundle_offered"
            ]
            assert ("ignored-lower", 1) in offers

    run_virtual(main)


def test_all_nodes_learn_of_a_target_that_leaves_after_a_restore():
    async def main():
        async with machines(SIX) as fleet:
            copy = fleet.store.copy()
            for number in range(40):
                write_entry(fleet, "10.0.0.3", slots=5 + number)
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            write_entry(fleet, "10.0.0.3", slots=5)
            # The time after which the platform's bounds hold again.
            await trio.sleep(3)
            write_entry(fleet, "10.0.0.1", state="draining")
            await trio.sleep(1.5)
            for ip in SIX:
                assert directory_of(fleet, ip).target_at("10.0.0.1:4").leaving

    run_virtual(main)


@pytest.mark.parametrize("is_announced", [True, False])
def test_a_target_that_left_gets_no_requests_when_the_copy_lists_it(is_announced):
    async def main():
        async with machines(THREE) as fleet:
            copy = fleet.store.copy()
            if is_announced:
                write_entry(fleet, "10.0.0.2", state="draining")
            else:
                fleet.store.delete("servers/i-10.0.0.2")
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            answers = []

            async def send(attempt):
                sent = request("/lookup/1", attempt)
                answers.append(await fleet.send("10.0.0.1", sent))

            # Several at once, as idle targets are not all used for single requests.
            for number in range(60):
                async with trio.open_nursery() as nursery:
                    for part in range(3):
                        nursery.start_soon(send, f"{number}-{part}")
                await trio.sleep(0.14)
            assert {answer.status for answer in answers} == {200}
            assert not fleet.targets["10.0.0.2"].runs
            # Its entry would have expired by now if it did not run.
            await trio.sleep(11)
            assert len(directory_of(fleet, "10.0.0.1").targets("b")) == 2

    run_virtual(main)


def test_a_target_that_writes_its_entry_again_after_a_restore_gets_requests():
    async def main():
        async with machines(THREE) as fleet:
            copy = fleet.store.copy()
            fleet.store.delete("servers/i-10.0.0.2")
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            await trio.sleep(3)
            assert len(directory_of(fleet, "10.0.0.1").targets("b")) == 1
            write_entry(fleet, "10.0.0.2")
            await trio.sleep(1.5)
            for ip in THREE:
                assert len(directory_of(fleet, ip).targets("b")) == 2

    run_virtual(main)


def test_a_target_that_joined_after_the_copy_was_made_is_kept():
    async def main():
        async with machines(TWO) as fleet:
            copy = fleet.store.copy()
            await fleet.add("10.0.0.3", "b")
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            for tenth in range(60):
                if tenth == 15:
                    write_entry(fleet, "10.0.0.3")
                for ip in THREE:
                    found = directory_of(fleet, ip).targets("b")
                    assert [entry.host for entry in found] == ["10.0.0.2", "10.0.0.3"]
                await trio.sleep(0.1)

    run_virtual(main)


def test_a_target_that_joined_after_the_copy_was_made_and_is_gone_is_removed():
    async def main():
        async with machines(SIX) as fleet:
            copy = fleet.store.copy()
            await fleet.add("10.0.0.9", "b")
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            await trio.sleep(5)
            for ip in SIX:
                hosts = [entry.host for entry in directory_of(fleet, ip).targets("b")]
                assert "10.0.0.9" not in hosts

    run_virtual(main)


def test_a_node_that_becomes_a_reader_after_a_restore_applies_changes_at_once():
    async def main():
        async with machines(SIX) as fleet:
            readers = fleet.readers()
            copy = fleet.store.copy()
            write_entry(fleet, "10.0.0.3", slots=5)
            await trio.sleep(2)
            fleet.store.restore(copy)
            await take_down(fleet, for_s=1)
            await trio.sleep(6)
            for ip in readers:
                fleet.nodes[ip].leave()
            await trio.sleep(1)
            write_entry(fleet, "10.0.0.1", state="draining")
            await trio.sleep(1.9)
            for ip in set(SIX) - readers:
                assert directory_of(fleet, ip).target_at("10.0.0.1:4").leaving

    run_virtual(main)


def test_a_node_logs_that_the_store_was_restored():
    async def scenario(state, store):
        state.put("op/config", desired_state())
        feeds = FeedRecorder(store)
        (await feeds.policy.read()).unwrap()()
        copy = state.copy()
        state.put("op/config", desired_state(2))
        (await feeds.policy.watch(100)).unwrap()()
        state.restore(copy)
        (await feeds.policy.watch(100)).unwrap()()
        (line,) = feeds.lines
        assert line == {
            "event": "store_restored",
            "key": "op/config",
            "generation": 1,
            "revision": 2,
            "revision_before": 3,
        }

    run_scenario(scenario)


def test_pages_from_before_and_after_a_restore_are_not_one_reading():
    async def scenario(state, store):
        for number in range(4):
            state.put(f"servers/t{number}", entry_of(f"t{number}", "10.0.0.1", "b"))
        page, copy = state.page, state.copy()

        def page_then_restore(prefix, after):
            found = page(prefix, after)
            if after:
                state.page = page
                state.restore(copy)
            return found

        state.page = page_then_restore
        error = (await store.read_prefix("servers/", False)).failure()
        assert error.kind is StoreErrorKind.RESTORED
        assert "generation 1 instead of 0" in str(error)
        assert len((await store.read_prefix("servers/", False)).unwrap().items) == 4

    run_scenario(scenario, page_items=2)


@pytest.mark.parametrize("era", [b"", b"x", b"-1", b"1.5", b"8388608", b"9" * 5_000])
def test_an_answer_whose_era_cannot_be_read_is_not_used(era):
    async def main():
        async def connect(address):
            ours, theirs = trio.testing.memory_stream_pair()
            body = json.dumps({"items": [], "store_revision": 9}).encode()
            head = b"HTTP/1.1 200 OK\r\nStore-Era: %s\r\nContent-Length: %d\r\n\r\n"
            await theirs.send_all(head % (era, len(body)) + body)
            return ours

        store = http_store_client(address=STORE, connect=connect)
        error = (await store.read_prefix("k", False)).failure()
        assert error.kind is StoreErrorKind.MALFORMED
        assert "Store-Era" in error.detail

    run_virtual(main)


STEPS = st.one_of(
    st.tuples(st.just("write"), st.sampled_from("pqrs"), st.integers(1, 9)),
    st.tuples(st.just("delete"), st.sampled_from("pqrs"), st.just(0)),
    st.tuples(st.sampled_from(["copy", "restore", "turn"]), st.just(""), st.just(0)),
)


@settings(max_examples=150, deadline=None)
@given(steps=st.lists(STEPS, max_size=25))
def test_after_any_restores_a_reader_knows_what_the_store_holds(steps):
    async def scenario(state, store):
        state.put("op/config", desired_state(1))
        feeds = FeedRecorder(store)
        (await feeds.targets.read()).unwrap()()
        (await feeds.policy.read()).unwrap()()
        copy, version = state.copy(), 1
        for step, key, slots in steps:
            if step == "write":
                entry = entry_of(key, f"10.0.0.{slots}", "b", slots=slots)
                state.put(f"servers/{key}", entry)
            elif step == "delete" and f"servers/{key}" in state.items:
                state.delete(f"servers/{key}")
            elif step == "copy":
                copy = state.copy()
                version += 1
                state.put("op/config", desired_state(version))
            elif step == "restore":
                state.restore(copy)
                version += 1
                state.put("op/config", desired_state(version))
            elif step == "turn":
                (await feeds.targets.watch(1)).unwrap()()
        (await feeds.targets.watch(1)).unwrap()()
        (await feeds.policy.watch(1)).unwrap()()
        assert {f"servers/{found}" for found in feeds.ids} == {
            key for key in state.items if key.startswith("servers/")
        }
        assert desired_state(version) in feeds.documents

    run_scenario(scenario)
