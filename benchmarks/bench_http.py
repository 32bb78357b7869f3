"""Processor time of an HTTP message in jacinthshed and in h11.

``python -m benchmarks.bench_http`` prints the microseconds of processor time for each
message without any network, and the ratio to h11 used directly in the same run. A
message is one request with its response, each with a body of ``BODY_BYTES``.
"""

import statistics
import time
from collections.abc import Callable

import h11
import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.server import serve_connection

BODY_BYTES = 200
MESSAGES = 2_000
ROUNDS = 9

BODY = b"x" * BODY_BYTES
REQUEST_HEADERS = (
    (b"host", b"127.0.0.1:8000"),
    (b"accept", b"*/*"),
    (b"content-type", b"application/json"),
    (b"idempotency-key", b"abcdef0123456789"),
    (b"jacinthshed-deadline-ms", b"1000"),
)
CONTENT_LENGTH = (b"content-length", b"%d" % BODY_BYTES)
RESPONSE_HEADERS = (
    (b"content-type", b"application/json"),
    (b"jacinthshed-verdict", b"ran"),
    (b"jacinthshed-request", b"0123456789abcdef"),
)


def _message_bytes(
    start_line: bytes, headers: tuple[tuple[bytes, bytes], ...]
) -> bytes:
    lines = [
        start_line,
        *(b"%s: %s" % field for field in (*headers, CONTENT_LENGTH)),
        b"",
        BODY,
    ]
    return b"\r\n".join(lines)


REQUEST_BYTES = _message_bytes(b"POST /orders/booking HTTP/1.1", REQUEST_HEADERS)
RESPONSE_BYTES = _message_bytes(b"HTTP/1.1 200 OK", RESPONSE_HEADERS)


class RepeatingStream(trio.abc.Stream):
    """A stream that receives ``data`` ``count`` times and discards what is sent."""

    def __init__(self, *, data: bytes, count: int) -> None:
        self._data = data
        self._remaining = count

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return ``data``, or no bytes after ``count`` calls."""
        self._remaining -= 1
        return self._data if self._remaining >= 0 else b""

    async def send_all(self, data: bytes) -> None:
        """Discard ``data``."""

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def aclose(self) -> None:
        """Do nothing."""


def bare_server(count: int) -> None:
    """Parse ``count`` requests and write responses with h11 alone."""
    connection = h11.Connection(h11.SERVER)
    headers = [*RESPONSE_HEADERS, CONTENT_LENGTH]
    for _ in range(count):
        connection.receive_data(REQUEST_BYTES)
        while type(connection.next_event()) is not h11.EndOfMessage:
            pass
        connection.send(h11.Response(status_code=200, headers=headers))
        connection.send(h11.Data(data=BODY))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()


def bare_client(count: int) -> None:
    """Write ``count`` requests and parse responses with h11 alone."""
    connection = h11.Connection(h11.CLIENT)
    headers = [*REQUEST_HEADERS, CONTENT_LENGTH]
    for _ in range(count):
        request = h11.Request(method="POST", target="/orders/booking", headers=headers)
        connection.send(request)
        connection.send(h11.Data(data=BODY))
        connection.send(h11.EndOfMessage())
        connection.receive_data(RESPONSE_BYTES)
        while type(connection.next_event()) is not h11.EndOfMessage:
            pass
        connection.start_next_cycle()


def own_server(count: int) -> None:
    """Serve one connection of ``count`` requests with jacinthshed's server."""
    response = Response(200, RESPONSE_HEADERS, BODY)

    async def handler(request: Request, informational: object) -> Response:
        return response

    async def main() -> None:
        stream = RepeatingStream(data=REQUEST_BYTES, count=count)
        await serve_connection(stream, handler, limits=HttpLimits(), drain=Drain())

    trio.run(main)


def own_client(count: int) -> None:
    """Send ``count`` requests through jacinthshed's client pool."""
    request = Request(b"POST", b"/orders/booking", REQUEST_HEADERS, BODY)

    async def main() -> None:
        async def connect(address: str) -> trio.abc.Stream:
            return RepeatingStream(data=RESPONSE_BYTES, count=count)

        pool = BackendPool(connect=connect, address="", max_connections=1)
        for _ in range(count):
            outcome = await pool.request(
                request, timeout_ms=1_000, max_body_bytes=BODY_BYTES
            )
            assert isinstance(outcome, Response)

    trio.run(main)


def cpu_us(run: Callable[[int], None]) -> float:
    """Return the processor time of a message in one run, in microseconds."""
    began_s = time.process_time()
    run(MESSAGES)
    return (time.process_time() - began_s) * 1e6 / MESSAGES


def main() -> None:
    """Print the medians of ``ROUNDS`` rounds, in which h11 and own code alternate."""
    print(f"{'side':<10}{'bare h11':>12}{'own':>12}{'ratio':>8}")
    for side, bare, own in (
        ("server", bare_server, own_server),
        ("client", bare_client, own_client),
    ):
        rounds = [(cpu_us(bare), cpu_us(own)) for _ in range(ROUNDS)]
        bare_us = statistics.median(figures[0] for figures in rounds)
        own_us = statistics.median(figures[1] for figures in rounds)
        ratio = statistics.median(own / bare for bare, own in rounds)
        print(f"{side:<10}{bare_us:>9.1f} us{own_us:>9.1f} us{ratio:>8.2f}")


if __name__ == "__main__":
    main()
