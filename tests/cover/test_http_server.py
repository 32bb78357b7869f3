import trio
import trio.testing

from jacinthshed.internal.http.connection_limit import limit_connections
from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Response
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.server import serve_connection
from tests.common.http import memory_network, receive_all

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def test_a_drain_finishes_the_current_request_and_closes_idle_connections():
    async def slow(request, send_interim):
        await trio.sleep(5)
        return Response(200, body=b"whole")

    async def main():
        drain = Drain()
        busy, busy_end = trio.testing.memory_stream_pair()
        idle, idle_end = trio.testing.memory_stream_pair()

        async def serve(stream):
            await serve_connection(stream, slow, limits=HttpLimits(), drain=drain)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, busy_end)
            nursery.start_soon(serve, idle_end)
            await busy.send_all(REQUEST + REQUEST)
            await trio.sleep(1)
            drain.start()
            started_s = trio.current_time()
            assert await receive_all(idle) == b""
            assert trio.current_time() - started_s < 0.1
            received = await receive_all(busy)
            assert trio.current_time() - started_s < 4.1
        assert received.count(b"HTTP/1.1 200") == 1
        assert received.endswith(b"whole")
        assert b"connection: close\r\n" in received

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_handler_is_cancelled_when_its_client_closes():
    cancelled = []

    async def slow(request, send_interim):
        try:
            await trio.sleep_forever()
        except trio.Cancelled:
            cancelled.append(request.target)
            raise

    async def main():
        client, server = trio.testing.memory_stream_pair()
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def serve():
                await serve_connection(
                    server,
                    slow,
                    limits=HttpLimits(),
                    drain=Drain(),
                    cancel_on_disconnect=True,
                )

            nursery.start_soon(serve)
            nursery.cancel_scope.deadline = trio.current_time() + 60
            await client.send_all(REQUEST)
            await trio.testing.wait_all_tasks_blocked()
            await client.aclose()
        assert trio.current_time() - started_s < 1

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert cancelled == [b"/"]


def test_a_failing_handler_affects_only_its_own_request():
    async def failing(request, send_interim):
        if request.target == b"/":
            raise RuntimeError("this request fails")
        return Response(200)

    async def main():
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:

            async def serve():
                await serve_connection(
                    server, failing, limits=HttpLimits(), drain=Drain()
                )

            nursery.start_soon(serve)
            await client.send_all(REQUEST + REQUEST.replace(b"/ ", b"/b "))
            await client.send_stream.aclose()
            return await receive_all(client)

    received = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert received.count(b"HTTP/1.1 500") == 1
    assert b"jacinthshed-verdict: may-have-run" in received
    assert received.count(b"HTTP/1.1 200") == 1


def test_connections_above_the_limit_are_refused_and_others_served():
    async def respond_at_once(request, send_interim):
        return Response(200)

    async def main():
        async def connected(stream):
            await serve_connection(
                stream, respond_at_once, limits=HttpLimits(), drain=Drain()
            )

        limited = limit_connections(connected, max_connections=2)
        network = memory_network()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "10.0.0.1:1", limited)
            first, second, third = [await network.connect(address) for _ in range(3)]
            refused = await receive_all(third)
            assert refused.startswith(b"HTTP/1.1 503")
            # An unread request may be a resend of one that has run.
            assert b"jacinthshed-verdict: may-have-run" in refused
            await first.send_all(REQUEST)
            assert (await first.receive_some()).startswith(b"HTTP/1.1 200")
            await second.aclose()
            await trio.testing.wait_all_tasks_blocked()
            fourth = await network.connect(address)
            await fourth.send_all(REQUEST)
            assert (await fourth.receive_some()).startswith(b"HTTP/1.1 200")
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_request_of_a_disconnected_client_is_not_handled():
    seen = []
    client_gone = trio.Event()
    served = trio.Event()

    async def note(request, send_interim):
        seen.append(request.target)
        return Response(200)

    async def connected(stream):
        await client_gone.wait()
        await serve_connection(
            stream,
            note,
            limits=HttpLimits(),
            drain=Drain(),
            cancel_on_disconnect=True,
        )
        served.set()

    async def main():
        network = tcp_network()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", connected)
            client = await network.connect(address)
            await client.send_all(REQUEST)
            await client.aclose()
            client_gone.set()
            with trio.fail_after(10):
                await served.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert seen == []


def test_a_connection_is_busy_until_its_response_is_written():
    """A graceful shutdown waits for busy connections so that no response is cut off."""

    async def respond_at_once(request, send_interim):
        return Response(200, body=b"x" * 100_000)

    async def main():
        drain = Drain()
        client, server = trio.testing.lockstep_stream_pair()

        async def serve():
            await serve_connection(
                server, respond_at_once, limits=HttpLimits(), drain=drain
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await trio.sleep(1)
            assert drain.busy == 0
            await client.send_all(REQUEST)
            await trio.sleep(1)
            drain.start()
            assert drain.busy == 1
            received = await receive_all(client)
            await trio.sleep(1)
            assert drain.busy == 0
        assert received.endswith(b"x" * 100_000)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
