"""What a client reads on a connection: whole answers, in order, or an early end."""

import pytest
import trio
import trio.testing

from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Response
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.server import serve_connection
from tests.common.fleet import run_virtual
from tests.common.http import receive_all


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 0.6])
def test_pipelined_requests_get_their_answers_in_order(pause_s):
    async def handle(request_, interim):
        # Longer than the delay after which the stream is watched.
        await trio.sleep(0.4)
        return Response(200, body=request_.target)

    async def main():
        client, server = trio.testing.memory_stream_pair()

        async def send():
            for number in range(4):
                await client.send_all(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number)
                await trio.sleep(pause_s)
            await trio.sleep(3)
            await client.send_eof()

        async def serve():
            await serve_connection(
                server,
                handle,
                limits=HttpLimits(),
                drain=Drain(),
                cancel_on_disconnect=True,
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(serve)
            received = await receive_all(client)
        whole = b"HTTP/1.1 200 \r\ncontent-length: 2\r\n\r\n/%d"
        assert received.lower() == b"".join(whole % n for n in range(4)).lower()

    run_virtual(main)


def test_a_client_that_reads_only_a_part_gets_nothing_after_it():
    body = b"x" * 16_000_000

    async def handle(request_, interim):
        return Response(200, body=body)

    async def serve(stream):
        limits = HttpLimits(write_ms=200)
        await serve_connection(stream, handle, limits=limits, drain=Drain())

    async def main():
        network = tcp_network()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", serve)
            client = await network.connect(address)
            await client.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
            await trio.sleep(0.6)
            received = await receive_all(client)
            nursery.cancel_scope.cancel()
        whole = b"HTTP/1.1 200 \r\ncontent-length: 16000000\r\n\r\n" + body
        assert 0 < len(received) < len(whole)
        assert whole.lower().startswith(received.lower())

    trio.run(main)


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    ],
)
def test_a_connection_ends_with_the_response_that_announces_it(head):
    handled = []

    async def handle(request_, interim):
        handled.append(request_.target)
        return Response(200, body=b"whole")

    async def main():
        client, server = trio.testing.memory_stream_pair()

        async def serve():
            await serve_connection(server, handle, limits=HttpLimits(), drain=Drain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await client.send_all(head * 2)
            received = await receive_all(client)
        assert received.count(b"HTTP/1.1 200") == 1
        assert received.endswith(b"whole")
        assert trio.current_time() < 1

    run_virtual(main)
    assert handled == [b"/"]


class HalfSendingStream(trio.abc.Stream):
    """Sends half of the first message, and blocks; sends the others whole."""

    def __init__(self, stream):
        self._stream = stream
        self._has_blocked = False

    async def send_all(self, data):
        if self._has_blocked:
            await self._stream.send_all(data)
            return
        self._has_blocked = True
        await self._stream.send_all(data[: len(data) // 2])
        await trio.sleep_forever()

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()


def test_no_answer_follows_an_interim_response_that_was_cut():
    async def handle(request_, interim):
        with trio.move_on_after(0.1):
            await interim(Response(103, ((b"x-early", b"value"),)))
        return Response(200, body=b"late")

    async def main():
        client, server = trio.testing.memory_stream_pair()

        async def serve():
            stream = HalfSendingStream(server)
            await serve_connection(stream, handle, limits=HttpLimits(), drain=Drain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await client.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            received = await receive_all(client)
        assert b"200" not in received

    run_virtual(main)
