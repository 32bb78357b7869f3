"""An answer without a length ends with its connection, but not with a reset of it."""

import socket
import struct

import pytest
import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.outcome import ExchangeFailed

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def exchange_with(parts, *, is_reset):
    """Return the outcome of a request that is answered with ``parts`` of bytes."""

    async def serve(stream):
        await stream.receive_some()
        for part in parts:
            await stream.send_all(part)
            # The client has to receive each part by itself.
            await trio.sleep(0.05)
        if is_reset:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        await stream.aclose()

    network = tcp_network()
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", serve)
            pool = BackendPool(
                connect=network.connect, address=address, max_connections=1
            )
            outcome = await pool.request(
                Request(b"GET", b"/", ((b"host", b"x"),)),
                timeout_ms=5_000,
                max_body_bytes=100,
            )
            nursery.cancel_scope.cancel()
    return outcome


@pytest.mark.parametrize("body", [(), (b"bo",), (b"bo", b"dy")])
def test_an_answer_reset_after_its_head_is_never_complete(body):
    parts = (b"HTTP/1.1 200 OK\r\n\r\n", *body)
    outcome = trio.run(lambda: exchange_with(parts, is_reset=True))
    assert isinstance(outcome, ExchangeFailed) and outcome.sent


@pytest.mark.parametrize("body", [(), (b"bo",), (b"bo", b"dy")])
def test_an_answer_that_ends_with_its_connection_is_complete(body):
    parts = (b"HTTP/1.1 200 OK\r\n\r\n", *body)
    outcome = trio.run(lambda: exchange_with(parts, is_reset=False))
    assert outcome.body == b"".join(body)
