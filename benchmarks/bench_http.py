"""CPU per HTTP message of the server and client sides, against the bare library.

``python -m benchmarks.bench_http`` prints microseconds of CPU per message without any
network, and the ratio to h11 used directly in the same run. A message is one request
with its response, of ``BODY_BYTES`` each.
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
FIELDS = (
    (b"host", b"127.0.0.1:8000"),
    (b"accept", b"*/*"),
    (b"content-type", b"application/json"),
    (b"idempotency-key", b"abcdef0123456789"),
    (b"jacinthshed-deadline-ms", b"1000"),
)
LENGTH = (b"content-length", b"%d" % BODY_BYTES)
ANSWER_FIELDS = (
    (b"content-type", b"application/json"),
    (b"jacinthshed-verdict", b"ran"),
    (b"jacinthshed-request", b"0123456789abcdef"),
)


def _lines(first: bytes, fields: tuple[tuple[bytes, bytes], ...]) -> bytes:
    lines = [first, *(b"%s: %s" % field for field in (*fields, LENGTH)), b"", BODY]
    return b"\r\n".join(lines)


REQUEST_BYTES = _lines(b"POST /orders/booking HTTP/1.1", FIELDS)
ANSWER_BYTES = _lines(b"HTTP/1.1 200 OK", ANSWER_FIELDS)


class RepeatingStream(trio.abc.Stream):
    """Gives the same bytes ``count`` times; takes all bytes at no cost."""

    def __init__(self, *, data: bytes, count: int) -> None:
        self._data = data
        self._left = count

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the bytes once more, or the end."""
        self._left -= 1
        return self._data if self._left >= 0 else b""

    async def send_all(self, data: bytes) -> None:
        """Take ``data``."""

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def aclose(self) -> None:
        """Do nothing."""


def bare_server(count: int) -> None:
    """Parse requests and write responses with the library alone."""
    library = h11.Connection(h11.SERVER)
    headers = [*ANSWER_FIELDS, LENGTH]
    for _ in range(count):
        library.receive_data(REQUEST_BYTES)
        while type(library.next_event()) is not h11.EndOfMessage:
            pass
        library.send(h11.Response(status_code=200, headers=headers))
        library.send(h11.Data(data=BODY))
        library.send(h11.EndOfMessage())
        library.start_next_cycle()


def bare_client(count: int) -> None:
    """Write requests and parse responses with the library alone."""
    library = h11.Connection(h11.CLIENT)
    headers = [*FIELDS, LENGTH]
    for _ in range(count):
        request = h11.Request(method="POST", target="/orders/booking", headers=headers)
        library.send(request)
        library.send(h11.Data(data=BODY))
        library.send(h11.EndOfMessage())
        library.receive_data(ANSWER_BYTES)
        while type(library.next_event()) is not h11.EndOfMessage:
            pass
        library.start_next_cycle()


def own_server(count: int) -> None:
    """Serve one connection that sends ``count`` requests."""
    answer = Response(200, ANSWER_FIELDS, BODY)

    async def handler(request: Request, informational: object) -> Response:
        return answer

    async def main() -> None:
        stream = RepeatingStream(data=REQUEST_BYTES, count=count)
        await serve_connection(stream, handler, limits=HttpLimits(), drain=Drain())

    trio.run(main)


def own_client(count: int) -> None:
    """Send ``count`` requests through a pool."""
    request = Request(b"POST", b"/orders/booking", FIELDS, BODY)

    async def main() -> None:
        async def connect(address: str) -> trio.abc.Stream:
            return RepeatingStream(data=ANSWER_BYTES, count=count)

        pool = BackendPool(connect=connect, address="", max_connections=1)
        for _ in range(count):
            outcome = await pool.request(
                request, timeout_ms=1_000, max_body_bytes=BODY_BYTES
            )
            assert isinstance(outcome, Response)

    trio.run(main)


def cpu_us(run: Callable[[int], None]) -> float:
    """Return the CPU per message of one run, in microseconds."""
    began_s = time.process_time()
    run(MESSAGES)
    return (time.process_time() - began_s) * 1e6 / MESSAGES


def main() -> None:
    """Print the medians of alternating rounds."""
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
