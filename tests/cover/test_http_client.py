import trio
import trio.testing
from hypothesis import given, settings, strategies as st

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.outcome import ExchangeFailed
from tests.common.http import memory_network
from tests.common.raw_server import GOOD, Conduct, RawServer

TIMEOUT_MS = 100
LATE_S = 0.15


def pool_at(network, address, **options):
    options = {"max_connections": 2, "connect_timeout_ms": 50, **options}
    return BackendPool(connect=network.connect, address=address, **options)


def ask(pool, token, **options):
    options = {"timeout_ms": TIMEOUT_MS, "max_body_bytes": 100, **options}
    return pool.request(Request(b"GET", b"/" + token, ((b"host", b"h"),)), **options)


def run_with_server(server, main, network=None):
    network = network or memory_network()

    async def guarded(stream):
        try:
            await server.serve(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def all_of_it():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", guarded)
            await main(pool_at(network, address))
            nursery.cancel_scope.cancel()

    trio.run(all_of_it, clock=trio.testing.MockClock(autojump_threshold=0))


@settings(max_examples=200)
@given(
    script=st.lists(st.sampled_from(list(Conduct)), max_size=12),
    at_once=st.integers(1, 4),
)
def test_each_request_gets_its_own_whole_answer_or_none(script, at_once):
    server = RawServer(script=script, late_s=LATE_S)
    outcomes = {}

    async def main(pool):
        async def client(name):
            for number in range(4):
                token = b"%d-%d" % (name, number)
                outcomes[token] = await ask(pool, token)

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
@given(conduct=st.sampled_from(list(Conduct)))
def test_what_counts_as_an_answer(conduct):
    server = RawServer(script=[conduct], late_s=LATE_S)

    async def main(pool):
        outcome = await ask(pool, b"x")
        assert isinstance(outcome, Response) == (conduct in GOOD)
        if conduct is not Conduct.ANSWER_AND_CLOSE:
            assert await ask(pool, b"y") == Response(200, (), b"y")

    run_with_server(server, main)


def test_a_cancelled_exchange_closes_its_connection():
    server = RawServer(script=[Conduct.LATE], late_s=LATE_S)

    async def main(pool):
        with trio.move_on_after(0.01):
            await ask(pool, b"first")
        for number in range(3):
            token = b"later-%d" % number
            assert await ask(pool, token) == Response(200, (), token)

    run_with_server(server, main)


def test_more_requests_than_connections_wait_their_turn():
    open_at_once = 0
    most = 0

    async def main():
        network = memory_network()

        async def counted(stream):
            nonlocal open_at_once, most
            open_at_once += 1
            most = max(most, open_at_once)
            try:
                await RawServer(script=[], late_s=0).serve(stream)
            finally:
                open_at_once -= 1

        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", counted)
            pool = pool_at(network, address)
            async with trio.open_nursery() as clients:
                for number in range(20):
                    clients.start_soon(ask, pool, b"%d" % number)
            await pool.close()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert most == 2


def test_a_reused_connection_that_was_closed_is_replaced():
    network = tcp_network()
    closed = 0

    async def main():
        nonlocal closed

        async def answer_once(stream):
            nonlocal closed
            await RawServer(script=[Conduct.ANSWER_AND_CLOSE], late_s=0).serve(stream)
            await stream.aclose()
            closed += 1

        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", answer_once)
            pool = pool_at(network, address)
            for number in range(5):
                token = b"%d" % number
                outcome = await ask(pool, token, timeout_ms=5_000)
                assert outcome == Response(200, (), token)
                while closed <= number:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()

    trio.run(main)
