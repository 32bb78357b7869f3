"""Targets, stores, peers and callers that send bytes without end.

Each reader has to stop after a bounded number of bytes, close the connection and report
what is known of the request. Other requests must not notice.
"""

import pytest
import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request
from jacinthshed.internal.http.outcome import ExchangeFailed
from jacinthshed.internal.platform.store import StoreErrorKind, http_store_client
from jacinthshed.internal.wire.codec import MAX_FRAME_BYTES
from tests.common.endless import RESPONSES, EndlessServer
from tests.common.fleet import run_virtual
from tests.common.http import memory_network, receive_all
from tests.common.machines import STORE, machines, request

ADDRESS = "10.9.9.9:80"
BODY_LIMIT = 1_000_000
# Heads, one buffer of the kernel and one part of the server come on top of a body.
MARGIN_BYTES = 400_000
TWO = {"10.0.0.1": "a", "10.0.0.2": "b"}

every_response = pytest.mark.parametrize("kind", RESPONSES)


def endless(kind):
    first, repeated = RESPONSES[kind]
    return EndlessServer(first=first, repeated=repeated)


@every_response
def test_a_response_without_end_is_given_up_and_its_connection_closed(kind):
    server = endless(kind)

    async def main():
        network = memory_network()
        async with trio.open_nursery() as nursery:
            await nursery.start(network.listen, ADDRESS, server.serve)
            pool = BackendPool(
                connect=network.connect, address=ADDRESS, max_connections=1
            )
            outcome = await pool.request(
                Request(b"GET", b"/", ((b"host", b"x"),)),
                timeout_ms=60_000,
                max_body_bytes=BODY_LIMIT,
            )
            assert isinstance(outcome, ExchangeFailed)
            assert outcome.sent and not outcome.timed_out
            await trio.sleep(0.1)
            assert server.open == 0
            nursery.cancel_scope.cancel()

    run_virtual(main)
    assert server.sent_bytes <= BODY_LIMIT + MARGIN_BYTES


@every_response
def test_an_answer_of_the_store_without_end_is_a_failed_call(kind):
    server = endless(kind)

    async def main():
        network = memory_network()
        async with trio.open_nursery() as nursery:
            await nursery.start(network.listen, STORE, server.serve)
            store = http_store_client(address=STORE, connect=network.connect)
            error = (await store.read_prefix("servers/", False)).failure()
            assert error.kind in (StoreErrorKind.MALFORMED, StoreErrorKind.TIMEOUT)
            await trio.sleep(0.1)
            assert server.open == 0
            nursery.cancel_scope.cancel()

    run_virtual(main)
    # The largest page is 4 MB.
    assert server.sent_bytes <= 4 * 1024 * 1024 + MARGIN_BYTES


@pytest.mark.parametrize("kind", ["head", "interim responses", "chunks"])
def test_a_target_without_end_harms_no_other_call_and_its_callers_hear_the_truth(kind):
    server = endless(kind)
    statuses = {}

    async def send(fleet, path, name):
        answer = await fleet.send("10.0.0.1", request(path, name))
        statuses[name] = answer.status

    async def main():
        async with machines(TWO) as fleet:
            connect = fleet.nodes["10.0.0.2"]._components.dispatcher._pool
            plain_connect = connect._connect
            calls = []

            async def connect_first_to_endless(address):
                calls.append(address)
                if len(calls) > 1:
                    return await plain_connect(address)
                ours, theirs = trio.testing.memory_stream_pair()
                fleet.nursery.start_soon(server.serve, theirs)
                return ours

            connect._connect = connect_first_to_endless
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, fleet, "/order/1", "broken")
                await trio.sleep(0.005)
                for number in range(5):
                    nursery.start_soon(send, fleet, "/lookup/1", f"l{number}")

    run_virtual(main)
    # The order was sent to the target, so that nothing promises that it didn't run.
    assert statuses.pop("broken") in (502, 504)
    assert set(statuses.values()) == {200}
    assert server.open == 0


def test_a_peer_that_announces_or_sends_too_much_loses_only_its_link():
    async def main():
        async with machines(TWO) as fleet:
            for first in (
                (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
                b"\xff" * 64,
                (8).to_bytes(4, "big") + b"\x00" * 8,
            ):
                stream = await fleet.network.connect("10.0.0.2:3")
                await stream.send_all(first)
                with trio.fail_after(5):
                    await receive_all(stream)
            answer = await fleet.send("10.0.0.1", request("/lookup/1", "l"))
            assert answer.status == 200

    run_virtual(main)


@pytest.mark.parametrize(
    ("first", "repeated", "status"),
    [
        (b"GET /lookup/1 HTTP/1.1\r\nX: ", b"a" * 1_000, b"431"),
        (
            b"POST /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: l\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"10\r\n0123456789abcdef\r\n" * 50,
            b"413",
        ),
    ],
)
def test_a_caller_that_never_stops_is_refused_and_nothing_runs(first, repeated, status):
    async def main():
        async with machines(TWO) as fleet:
            stream = await fleet.network.connect("10.0.0.1:1")
            answer = []

            async def read():
                answer.append(await receive_all(stream))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await stream.send_all(first)
                with trio.move_on_after(5):
                    try:
                        while True:
                            await stream.send_all(repeated)
                            await trio.sleep(0.001)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        pass
            assert answer[0].startswith(b"HTTP/1.1 " + status)
            assert not fleet.targets["10.0.0.2"].runs

    run_virtual(main)
