"""A TCP connection that makes few system calls."""

import os
import socket

import trio


class TcpStream(trio.abc.HalfCloseableStream):
    """A connected socket as a stream.

    Trio's own stream tries to receive before it waits, and lets other tasks run after
    each send. Between nodes, data is hardly ever there yet and nearly always sent at
    once, so that both cost a system call and a turn of the scheduler for nothing.
    """

    def __init__(self, *, connected: trio.socket.SocketType) -> None:
        self.socket = connected
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive_some(self, max_bytes: int | None = 65_536) -> bytes:
        """Return what has come, waiting for it; ``b""`` at the end of the stream."""
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
        """Send ``data``, waiting only while the system takes no more."""
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
        """Send what the system takes at once; return how many bytes it took.

        Raises ``OSError`` when the connection is broken.
        """
        try:
            return os.write(self._fileno(), data)
        except BlockingIOError:
            return 0

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the system takes more."""
        await trio.lowlevel.wait_writable(self._fileno())

    async def send_eof(self) -> None:
        """Tell the other end that nothing more will come."""
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
            raise trio.ClosedResourceError("this stream was closed")
        return fd
