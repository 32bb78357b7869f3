"""The functions that open and accept connections, and their TCP implementation."""

import errno
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol

import trio

from .socket_stream import TcpStream

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]
Connect = Callable[[str], Awaitable[trio.abc.Stream]]
"""Opens a connection to an address.

Raises ``OSError`` or ``trio.BrokenResourceError`` on failure. Addresses come from other
writers and from peers, so this includes any text that is not an address.
"""

_BACKLOG = 1_024
MAX_PORT = 65_535


class Listen(Protocol):
    """Accepts connections until cancelled."""

    async def __call__(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on ``address`` and run ``handler`` for each connection.

        Reports the bound address, with the actual port, through ``task_status``.
        """


class Network(NamedTuple):
    """Functions that connect to an address and listen on one."""

    connect: Connect
    listen: Listen


def tcp_network() -> Network:
    """Return the TCP network of this host. Addresses are ``IP:port``."""
    return Network(connect=_connect, listen=_listen)


def peer_ip(stream: trio.abc.Stream) -> str:
    """Return the IP address of the peer, or ``""`` when it has none."""
    if not isinstance(stream, TcpStream):
        return ""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ""


def send_now(stream: trio.abc.Stream, data: bytes) -> int:
    """Send as much of ``data`` as possible without waiting; return the bytes sent.

    The result is 0 when ``stream`` is not a TCP stream. No other send may be in
    progress. Raises ``OSError`` when the connection is broken, and
    ``trio.ClosedResourceError`` when it was closed on this side.
    """
    return stream.send_now(data) if isinstance(stream, TcpStream) else 0


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``address``.

    Raises ``ValueError`` when it does not have the form ``IP:port`` or ``[IPv6]:port``,
    or the port is above ``MAX_PORT``.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or int(port) > MAX_PORT:
        raise ValueError(
            f"{address!r} is not a valid address; write it as IP:port or [IPv6]:port,"
            f" with a port from 0 to {MAX_PORT}"
        )
    return host, int(port)


@contextmanager
def _os_errors(address: str) -> Iterator[None]:
    """Raise ``OSError`` when ``address`` is malformed or can't be encoded.

    The resolver raises a subclass of ``ValueError`` for a null byte and for a name or
    zone index that has no encoding.
    """
    try:
        yield
    except ValueError as error:
        text = f"{address!r} can't be resolved: {error}"
        raise OSError(errno.EINVAL, text) from error


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


async def _connect(address: str) -> TcpStream:
    with _os_errors(address):
        host, port = split_address(address)
        connection = trio.socket.socket(_family(host), socket.SOCK_STREAM)
        try:
            await connection.connect((host, port))
            return TcpStream(connected=connection)
        except BaseException:
            connection.close()
            raise


async def _listen(
    address: str,
    handler: StreamHandler,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    with _os_errors(address):
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=_BACKLOG)
    task_status.started(_format_address(listeners[0].socket.getsockname()))
    await trio.serve_listeners(_accept_with(handler), listeners)


def _accept_with(
    handler: StreamHandler,
) -> Callable[[trio.SocketStream], Awaitable[None]]:
    async def accept(stream: trio.SocketStream) -> None:
        await handler(TcpStream(connected=stream.socket))

    return accept


def _format_address(socket_name: tuple[Any, ...]) -> str:
    host, port = socket_name[0], socket_name[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
