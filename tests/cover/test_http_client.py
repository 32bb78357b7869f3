import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.outcome import ExchangeFailed
from tests.common.http import memory_network
from tests.common.raw_server import COMPLETE_RESPONSES, RawServer, ServerAction

TIMEOUT_MS = 100
LATE_S = 0.15


def pool_at(network, address, **options):
    options = {"max_connections": 2, "connect_timeout_ms": 50, **options}
    return BackendPool(connect=network.connect, address=address, **options)


def send(pool, token, **options):
    options = {"timeout_ms": TIMEOUT_MS, "max_body_bytes": 100, **options}
    return pool.request(Request(b"GET", b"/" + token, ((b"host", b"h"),)), **options)


def run_with_server(server, main, network=None):
    network = network or memory_network()

    async def guarded(stream):
        try:
            await server.serve(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def serve_and_run():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", guarded)
            await main(pool_at(network, address))
            nursery.cancel_scope.cancel()

    trio.run(serve_and_run, clock=trio.testing.MockClock(autojump_threshold=0))


@settings(max_examples=200)
@given(
    script=st.lists(st.sampled_from(list(ServerAction)), max_size=12),
    at_once=st.integers(1, 4),
)
def test_each_request_gets_its_own_whole_answer_or_none(script, at_once):
    server = RawServer(script=script, late_s=LATE_S)
    outcomes = {}

    async def main(pool):
        async def client(name):
            for number in range(4):
                token = b"%d-%d" % (name, number)
                outcomes[token] = await send(pool, token)

        async with trio.open_nursery() as nursery:
            for name in range(at_once):
                nursery.start_soon(client, name)

    run_with_server(server, main)
    assert len(set(server.seen)) == len(server.seen)
    for token, outcome in outcomes.items():
        if isinstance(outcome, ExchangeFailed):
            assert outcome.sent or token not in server.seen
        else:
            assert outcome == Response(200, (), token)


@settings(max_examples=60)
@given(action=st.sampled_from(list(ServerAction)))
def test_only_complete_responses_are_returned(action):
    server = RawServer(script=[action], late_s=LATE_S)

    async def main(pool):
        outcome = await send(pool, b"x")
        assert isinstance(outcome, Response) == (action in COMPLETE_RESPONSES)
        if action is not ServerAction.ANSWER_AND_CLOSE:
            assert await send(pool, b"y") == Response(200, (), b"y")

    run_with_server(server, main)


def test_a_cancelled_exchange_closes_its_connection():
    server = RawServer(script=[ServerAction.LATE], late_s=LATE_S)

    async def main(pool):
        with trio.move_on_after(0.01):
            await send(pool, b"first")
        for number in range(3):
            token = b"later-%d" % number
            assert await send(pool, token) == Response(200, (), token)

    run_with_server(server, main)


def test_more_requests_than_connections_wait_for_a_free_one():
    open_count = 0
    max_open_count = 0

    async def main():
        network = memory_network()

        async def counted(stream):
            nonlocal open_count, max_open_count
            open_count += 1
            max_open_count = max(max_open_count, open_count)
            try:
                await RawServer(script=[], late_s=0).serve(stream)
            finally:
                open_count -= 1

        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", counted)
            pool = pool_at(network, address)
            async with trio.open_nursery() as clients:
                for number in range(20):
                    clients.start_soon(send, pool, b"%d" % number)
            await pool.close()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert max_open_count == 2


def test_a_reused_connection_that_was_closed_is_replaced():
    network = tcp_network()
    closed = 0

    async def main():
        nonlocal closed

        async def answer_once(stream):
            nonlocal closed
            await RawServer(script=[ServerAction.ANSWER_AND_CLOSE], late_s=0).serve(
                stream
            )
            await stream.aclose()
            closed += 1

        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", answer_once)
            pool = pool_at(network, address)
            for number in range(5):
                token = b"%d" % number
                outcome = await send(pool, token, timeout_ms=5_000)
                assert outcome == Response(200, (), token)
                while closed <= number:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()

    trio.run(main)
