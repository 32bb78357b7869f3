import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Request, Response, header
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.outcome import ExchangeFailed
from jacinthshed.internal.http.server import serve_connection
from tests.common.http import memory_network

ADDRESS = "127.0.0.1:0"
REQUEST = Request(b"POST", b"/a?b=c", ((b"host", b"h"), (b"x-one", b"1")), b"body")


async def serve(nursery, network, handler, drain=None):
    drain = drain or Drain()

    async def connected(stream):
        await serve_connection(stream, handler, limits=HttpLimits(), drain=drain)

    return await nursery.start(network.listen, ADDRESS, connected)


def pool_for(network, address, **options):
    options = {"max_connections": 2, **options}
    return BackendPool(connect=network.connect, address=address, **options)


async def echo(request, send_interim):
    await send_interim(Response(103, ((b"x-early", b"yes"),)))
    return Response(200, ((b"x-target", request.target),), request.body)


def exchange_over(network):
    async def main():
        interim = []

        async def note(response):
            interim.append(header(response.headers, b"x-early"))

        async with trio.open_nursery() as nursery:
            pool = pool_for(network, await serve(nursery, network, echo))
            for _ in range(3):
                outcome = await pool.request(
                    REQUEST, timeout_ms=1_000, max_body_bytes=100, on_interim=note
                )
                assert outcome == Response(200, ((b"x-target", b"/a?b=c"),), b"body")
            await pool.close()
            nursery.cancel_scope.cancel()
        assert interim == [b"yes"] * 3

    trio.run(main)


def test_exchange_over_tcp():
    exchange_over(tcp_network())


def test_exchange_over_memory():
    exchange_over(memory_network())


def test_a_refused_connection_sends_nothing():
    async def main():
        pool = pool_for(tcp_network(), "127.0.0.1:1")
        outcome = await pool.request(REQUEST, timeout_ms=1_000, max_body_bytes=1)
        assert isinstance(outcome, ExchangeFailed)
        assert not outcome.sent

    trio.run(main)
