"""Latency on one listener of a process while another listener is flooded.

``python -m benchmarks.bench_flood`` serves two listeners in one process, sends
malformed requests from a second process to the first listener, each over a new
connection, and prints the latency of valid requests to the second listener, without and
with the flood.
"""

import subprocess
import sys
import time

import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.connection_limit import limit_connections
from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Request, Response
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.server import InterimHandler, serve_connection

ANY_PORT = "127.0.0.1:0"
FLOODING_TASKS = 300
MAX_CONNECTIONS = 500
FLOOD_S = 5.0
PROBE_S = 3.0
PROBE_PAUSE_S = 0.003
MALFORMED_REQUEST = b"GARBAGE\n\n" * 10
PROBE = Request(b"GET", b"/", ((b"host", b"probe"),))

NETWORK = tcp_network()


async def serve() -> None:
    """Serve two listeners and print the address of each on a line."""

    async def handler(request: Request, informational: InterimHandler) -> Response:
        return Response(200)

    async def handle_connection(stream: trio.abc.Stream) -> None:
        await serve_connection(
            stream,
            handler,
            limits=HttpLimits(),
            drain=Drain(),
            cancel_on_disconnect=True,
        )

    limited = limit_connections(handle_connection, max_connections=MAX_CONNECTIONS)
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            print(await nursery.start(NETWORK.listen, ANY_PORT, limited), flush=True)


async def flood(address: str) -> None:
    """Send malformed requests over new connections; print their rate."""
    count = 0

    async def send() -> None:
        nonlocal count
        while True:
            try:
                async with await NETWORK.connect(address) as stream:
                    await stream.send_all(MALFORMED_REQUEST)
                    await stream.receive_some()
                    count += 1
            except (OSError, trio.BrokenResourceError):
                continue

    with trio.move_on_after(FLOOD_S):
        async with trio.open_nursery() as nursery:
            for _ in range(FLOODING_TASKS):
                nursery.start_soon(send)
    print(f"malformed requests a second: {count / FLOOD_S:.0f}")


async def probe(address: str, name: str) -> None:
    """Send valid requests one after the other and print their latency."""
    pool = BackendPool(connect=NETWORK.connect, address=address, max_connections=1)
    latencies_ms = []
    end_s = time.monotonic() + PROBE_S
    while time.monotonic() < end_s:
        began_s = time.perf_counter()
        outcome = await pool.request(PROBE, timeout_ms=5_000, max_body_bytes=100)
        assert isinstance(outcome, Response)
        latencies_ms.append((time.perf_counter() - began_s) * 1_000)
        await trio.sleep(PROBE_PAUSE_S)
    latencies_ms.sort()
    p50, p99 = (latencies_ms[int(len(latencies_ms) * share)] for share in (0.5, 0.99))
    print(f"{name:<8} {len(latencies_ms)} requests, p50 {p50:.2f} ms, p99 {p99:.2f} ms")


def start(*arguments: str) -> subprocess.Popen[str]:
    """Start this module in another process, with ``arguments``."""
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.bench_flood", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def main() -> None:
    """Measure the latency without and with the flood."""
    server = start("serve")
    assert server.stdout is not None
    flooded_address, probed_address = (
        server.stdout.readline().strip() for _ in range(2)
    )
    try:
        trio.run(probe, probed_address, "quiet")
        flooder = start("flood", flooded_address)
        trio.run(probe, probed_address, "flooded")
        print(flooder.communicate()[0], end="")
    finally:
        server.terminate()
        server.wait()


if __name__ == "__main__":
    roles = {"serve": serve, "flood": flood}
    if len(sys.argv) > 1:
        trio.run(roles[sys.argv[1]], *sys.argv[2:])
    else:
        main()
