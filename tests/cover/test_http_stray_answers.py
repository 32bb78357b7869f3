"""Responses to other requests, and servers that close idle connections."""

import pytest
import trio
import trio.testing

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.matching import ResponseMatcher
from jacinthshed.internal.http.message import Request, header
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.outcome import ExchangeFailed
from jacinthshed.internal.http.socket_stream import TcpStream
from tests.common.fleet import run_virtual


def answer(request_id, more=b""):
    return b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n%s\r\nbody" % (
        request_id,
        more,
    )


class Server:
    """Sends the next element of ``script`` for each request; counts connections."""

    def __init__(self, script):
        self.script = iter(script)
        self.connections = 0
        self.nursery = None

    async def connect(self, address):
        self.connections += 1
        client_end, server_end = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, server_end)
        return client_end

    async def _serve(self, stream):
        while await stream.receive_some():
            await stream.send_all(next(self.script))


def exchanged(script, ids, *, pause_s=0.0):
    """Return the outcomes of requests with ``ids`` and the number of connections."""

    async def main():
        server = Server(script)
        outcomes = []
        async with trio.open_nursery() as nursery:
            server.nursery = nursery
            pool = BackendPool(connect=server.connect, address="x", max_connections=1)
            for own_id in ids:
                outcomes.append(
                    await pool.request(
                        Request(b"GET", b"/", ((b"host", b"x"),)),
                        timeout_ms=1_000,
                        max_body_bytes=100,
                        matcher=ResponseMatcher(own_id, b"id", lambda headers: False),
                    )
                )
                await trio.sleep(pause_s)
            nursery.cancel_scope.cancel()
        return outcomes, server.connections

    return run_virtual(main)


def test_a_late_answer_to_an_earlier_request_is_skipped():
    script = [answer(b"0") + answer(b"1"), answer(b"2")]
    (first, second), connections = exchanged(script, [b"1", b"2"])
    assert header(first.headers, b"id") == b"1"
    assert header(second.headers, b"id") == b"2"
    # A connection that carried a mismatched response may carry another one.
    assert connections == 2


def test_a_response_to_no_request_is_never_returned():
    (outcome,), _ = exchanged([answer(b"0") * 9], [b"1"])
    assert isinstance(outcome, ExchangeFailed)
    assert outcome.sent


def test_a_connection_is_not_used_again_when_its_server_is_about_to_close_it():
    keep = b"Keep-Alive: timeout=2\r\n"
    script = [answer(b"1", keep), answer(b"2", keep)]
    assert exchanged(script, [b"1", b"2"], pause_s=0.5)[1] == 1
    script = [answer(b"1", keep), answer(b"2", keep)]
    assert exchanged(script, [b"1", b"2"], pause_s=1.5)[1] == 2


@pytest.mark.parametrize(
    ("head", "parts", "is_whole"),
    [
        (b"", (b"bo", b"dy"), True),
        (b"Transfer-Encoding: chunked\r\n", (b"4\r\nbo", b"dy\r\n0\r\n\r\n"), True),
        (b"Transfer-Encoding: chunked\r\n", (b"4\r\nbo", b"dy\r\n"), False),
        (b"Content-Length: 4\r\n", (b"bo", b"dy"), True),
        (b"Content-Length: 4\r\n", (b"bo", b"d"), False),
    ],
)
def test_a_body_that_arrives_after_its_head_is_whole_or_fails(head, parts, is_whole):
    async def serve(stream):
        await stream.receive_some()
        for part in (b"HTTP/1.1 200 OK\r\n" + head + b"\r\n", *parts):
            await stream.send_all(part)
            await trio.sleep(0.1)
        await stream.aclose()

    async def main():
        async with trio.open_nursery() as nursery:

            async def connect(address):
                client_end, server_end = trio.testing.memory_stream_pair()
                nursery.start_soon(serve, server_end)
                return client_end

            pool = BackendPool(connect=connect, address="x", max_connections=1)
            return await pool.request(
                Request(b"GET", b"/", ((b"host", b"x"),)),
                timeout_ms=5_000,
                max_body_bytes=100,
            )

    outcome = run_virtual(main)
    if is_whole:
        assert outcome.body == b"body"
    else:
        assert isinstance(outcome, ExchangeFailed) and outcome.sent


def test_a_tcp_stream_carries_more_than_the_kernel_buffers():
    size = 8_000_000

    async def main():
        async def echo(stream):
            assert isinstance(stream, TcpStream)
            received = bytearray()
            while len(received) < size:
                received += await stream.receive_some()
            await stream.send_all(received)
            await stream.send_eof()

        network = tcp_network()
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(network.listen, "127.0.0.1:0", echo)
                stream = await network.connect(address)
                nursery.start_soon(stream.send_all, bytes(size))
                total = 0
                while data := await stream.receive_some():
                    total += len(data)
                await stream.aclose()
                nursery.cancel_scope.cancel()
        assert total == size

    trio.run(main)
