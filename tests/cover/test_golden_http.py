"""Complete HTTP sessions, compared with the transcripts in ``tests/golden``."""

import random

import trio
import trio.testing

from jacinthshed.internal.caller.caller import Caller
from tests.common.bad_requests import BAD_REQUESTS
from tests.common.golden import check_golden
from tests.common.http import memory_network
from tests.common.scripted_entry import CopyOutcome, ScriptedEntry
from tests.common.transcript import marked_lines, recording_network
from tests.cover.test_http_bad_input import serve_bytes

ENTRY = "10.0.0.1:7000"
SESSIONS = {
    "answered at once": [CopyOutcome.ANSWERED],
    "the response is lost after the fence was sent": [CopyOutcome.ANSWER_LOST],
    "everything is lost, then the key is sent again": [CopyOutcome.ALL_LOST],
    "refused permanently, then sent under a new fence": [CopyOutcome.TOMBSTONE],
    "delayed, refused at the entry node, then looked up": [
        CopyOutcome.DELAYED,
        CopyOutcome.REFUSED_HERE,
    ],
}


def test_bad_requests_and_their_refusals():
    lines = []
    for name, data in BAD_REQUESTS.items():
        _, received = serve_bytes(data)
        lines += [f"== {name}", *marked_lines("<", received), ""]
    check_golden("bad_requests.txt", lines)


def test_sessions_of_a_caller():
    lines = []
    for name, script in SESSIONS.items():
        lines += [f"== {name}", *caller_session(script), ""]
    check_golden("caller_sessions.txt", lines)


def caller_session(script):
    """Return what a caller sends and receives for two requests with one key."""
    lines = []
    entry = ScriptedEntry(script=script)

    async def main():
        network = memory_network()
        async with trio.open_nursery() as nursery:
            await nursery.start(network.listen, ENTRY, entry.serve)
            caller = Caller(
                entries=[ENTRY],
                network=recording_network(network, lines),
                rng=random.Random(7),
            )
            key = caller.new_key()
            for _ in range(2):
                result = await caller.request("POST", "/refunds", key=key, body=b"{}")
                lines.append(f"= {result}")
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return lines
