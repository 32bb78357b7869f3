import random

import pytest
import trio
import trio.testing
from hypothesis import given, settings, strategies as st
from returns.result import Success

from jacinthshed import Reason, Verdict
from jacinthshed.internal.caller.caller import Caller
from tests.common.http import memory_network
from tests.common.scripted_entry import CopyOutcome, ScriptedEntry

MAX_COPIES = 3


def run_with_entry(entry, main):
    """Run ``main(caller)`` with ``entry`` at two addresses and none at a third."""

    async def serve_and_run():
        network = memory_network()
        async with trio.open_nursery() as nursery:
            for address in ("10.0.0.1:1", "10.0.0.2:1"):
                await nursery.start(network.listen, address, entry.serve)
            caller = Caller(
                entries=["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"],
                network=network,
                rng=random.Random(1),
            )
            await main(caller)
            nursery.cancel_scope.cancel()

    trio.run(serve_and_run, clock=trio.testing.MockClock(autojump_threshold=0))


def verdict_of(result):
    if isinstance(result, Success):
        return result.unwrap().verdict
    return result.failure().verdict


@settings(max_examples=300)
@given(
    script=st.lists(st.sampled_from(list(CopyOutcome)), max_size=8),
    last=st.sampled_from([CopyOutcome.ANSWERED, CopyOutcome.TOMBSTONE]),
)
def test_a_key_runs_at_most_once_and_not_run_is_true(script, last):
    entry = ScriptedEntry(script=script, last=last)

    async def main(caller):
        key = caller.new_key()
        for _ in range(4):
            copies = entry.copies
            result = await caller.request("POST", "/refunds", key=key)
            verdict = verdict_of(result)
            assert entry.copies - copies <= MAX_COPIES
            assert entry.runs <= 1
            if verdict is Verdict.NOT_RUN:
                entry.deliver_delayed()
                assert entry.runs == 0
            if verdict is Verdict.RAN:
                assert entry.runs == 1

    run_with_entry(entry, main)


@pytest.mark.parametrize(
    ("copy_outcome", "verdict", "copies"),
    [
        (CopyOutcome.ANSWERED, Verdict.RAN, 1),
        (CopyOutcome.ANSWER_LOST, Verdict.RAN, 2),
        (CopyOutcome.ALL_LOST, Verdict.MAY_HAVE_RUN, 1),
        (CopyOutcome.NEVER_READ, Verdict.MAY_HAVE_RUN, 1),
        (CopyOutcome.TOMBSTONE, Verdict.RAN, 2),
        (CopyOutcome.REFUSED_HERE, Verdict.RAN, 2),
    ],
)
def test_first_copy_of_a_new_key(copy_outcome, verdict, copies):
    entry = ScriptedEntry(script=[copy_outcome])

    async def main(caller):
        result = await caller.request("POST", "/refunds")
        assert verdict_of(result) is verdict

    run_with_entry(entry, main)
    assert entry.copies == copies


def test_a_key_of_unknown_origin_is_never_sent_as_new():
    entry = ScriptedEntry(script=[])
    entry.runs = 1  # Sent by an earlier process of the application.

    async def main(caller):
        result = await caller.request("POST", "/refunds", key="kiosk-7-0041")
        assert verdict_of(result) is Verdict.RAN
        assert caller.fence("kiosk-7-0041") == "f0"

    run_with_entry(entry, main)
    assert entry.runs == 1


def test_resends_are_limited_to_a_fraction_of_the_requests():
    entry = ScriptedEntry(script=[CopyOutcome.TOMBSTONE] * 10_000)
    requests = 400

    async def main(caller):
        for _ in range(requests):
            await caller.request("POST", "/refunds")

    run_with_entry(entry, main)
    assert entry.copies <= requests * 1.1 + 20


def test_unreachable_entries_give_not_run():
    async def main(caller):
        result = await caller.request("POST", "/refunds", deadline_ms=500)
        assert verdict_of(result) is Verdict.NOT_RUN

    async def serve_and_run():
        caller = Caller(entries=["10.0.0.1:1"], network=memory_network())
        await main(caller)

    trio.run(serve_and_run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_unresponsive_entry_is_replaced_in_time():
    entry = ScriptedEntry(script=[])

    async def main(caller):
        caller._entries.note_failure("10.0.0.2:1", 1e9)
        caller._entries.note_failure("10.0.0.3:1", 1e9)
        started_s = trio.current_time()
        result = await caller.request("GET", "/stock", deadline_ms=1_000)
        assert verdict_of(result) is Verdict.RAN
        assert trio.current_time() - started_s <= 0.5

    async def silent(stream):
        await trio.sleep_forever()

    async def serve_and_run():
        network = memory_network()
        async with trio.open_nursery() as nursery:
            await nursery.start(network.listen, "10.0.0.1:1", silent)
            await nursery.start(network.listen, "10.0.0.2:1", entry.serve)
            caller = Caller(
                entries=["10.0.0.1:1", "10.0.0.2:1"],
                network=network,
                rng=random.Random(1),
            )
            await main(caller)
            nursery.cancel_scope.cancel()

    trio.run(serve_and_run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_unencodable_request_marks_no_entry_as_failed():
    entry = ScriptedEntry(script=[])

    async def main(caller):
        bad = [(b"x", b"a\r\nJacinthshed-Fence: f1")]
        result = await caller.request("POST", "/refunds", headers=bad)
        assert verdict_of(result) is Verdict.NOT_RUN
        assert result.failure().reason is Reason.MALFORMED
        assert verdict_of(await caller.request("POST", "/refunds")) is Verdict.RAN

    run_with_entry(entry, main)
    assert entry.copies == 1
