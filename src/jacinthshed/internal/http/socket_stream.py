"""A TCP stream that makes few system calls."""

import os
import socket

import trio


class TcpStream(trio.abc.HalfCloseableStream):
    """A stream over a connected TCP socket.

    Trio's own stream tries to receive before it waits, and yields to the scheduler
    after each send. Between nodes, data has rarely arrived yet when receiving starts,
    and a send nearly always completes at once, so these cost a system call and a
    scheduler turn without benefit.
    """

    def __init__(self, *, connected: trio.socket.SocketType) -> None:
        self.socket = connected
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive_some(self, max_bytes: int | None = 65_536) -> bytes:
        """Wait for data and return it; ``b""`` at the end of the stream."""
        while True:
            fd = self._fileno()
            await trio.lowlevel.wait_readable(fd)
            try:
                return os.read(fd, max_bytes or 65_536)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send ``data``, waiting only while the kernel's buffer is full."""
        left = memoryview(data)
        while left:
            try:
                sent = self.send_now(left)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
            left = left[sent:]
            if left:
                await self.wait_send_all_might_not_block()

    def send_now(self, data: bytes | memoryview) -> int:
        """Send as much as possible without waiting; return the number of bytes sent.

        Raises ``OSError`` when the connection is broken.
        """
        try:
            return os.write(self._fileno(), data)
        except BlockingIOError:
            return 0

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the socket is writable."""
        await trio.lowlevel.wait_writable(self._fileno())

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await trio.lowlevel.checkpoint()
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        self.socket.close()
        await trio.lowlevel.checkpoint()

    def _fileno(self) -> int:
        fd = self.socket.fileno()
        if fd < 0:
            raise trio.ClosedResourceError("this stream is closed")
        return fd
