"""A store that is restored from an older copy, and gives its revisions out again."""

import json

import pytest
import trio

from jacinthshed.internal.platform.store import StoreErrorKind, http_store_client
from tests.common.fleet import run_virtual
from tests.common.machines import STORE, desired_state
from tests.common.store_feeds import FeedRecorder, run_scenario


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


@pytest.mark.parametrize("era", [b"", b"x", b"-1", b"1.5", b"9" * 30])
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
