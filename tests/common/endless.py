"""Servers that send bytes without end, and count how many were taken from them."""

import trio
import trio.testing

CHUNK_BYTES = 16_384
# A server stops here, so that a reader without a limit fails the test and not hangs it.
GIVE_UP_BYTES = 64 * 1024 * 1024

HEADS = {
    "head": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * CHUNK_BYTES),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"X: a\r\n" * 2_000),
    "no HTTP": (b"", b"\x00" * CHUNK_BYTES),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 500),
}
BODIES = {
    "body until close": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * CHUNK_BYTES),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"400\r\n" + b"a" * 1_024 + b"\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
        b"a" * CHUNK_BYTES,
    ),
    "trailer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        b"a" * CHUNK_BYTES,
    ),
    "announced length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n",
        b"a" * CHUNK_BYTES,
    ),
}
RESPONSES = {**HEADS, **BODIES}


class EndlessServer:
    """Sends a first part and then the same bytes until its client closes.

    ``sent_bytes`` counts what was sent on all connections, ``open`` how many of them
    are not closed yet.
    """

    def __init__(self, *, first, repeated):
        self.first = first
        self.repeated = repeated
        self.sent_bytes = 0
        self.open = 0

    async def serve(self, stream):
        """Serve one connection."""
        self.open += 1
        try:
            await stream.receive_some()
            await stream.send_all(self.first)
            while self.sent_bytes < GIVE_UP_BYTES:
                await stream.send_all(self.repeated)
                self.sent_bytes += len(self.repeated)
                # Lets the reader run between two parts, as a network would.
                await trio.sleep(0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.open -= 1
