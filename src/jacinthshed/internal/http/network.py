"""The two functions through which a process reaches others, and their TCP form."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

import trio

from .socket_stream import TcpStream

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]
Connect = Callable[[str], Awaitable[trio.abc.Stream]]

_BACKLOG = 1_024


class Listen(Protocol):
    """Accepts connections until it is cancelled."""

    async def __call__(
        self,
        address: str,
        handler: StreamHandler,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on ``address`` and run ``handler`` for each connection.

        Reports the address in use, with its real port, through ``task_status``.
        """


class Network(NamedTuple):
    """How a process connects to an address and listens on one."""

    connect: Connect
    listen: Listen


def tcp_network() -> Network:
    """Return the network of this host. Addresses are ``IP:port``."""
    return Network(connect=_connect, listen=_listen)


def peer_ip(stream: trio.abc.Stream) -> str:
    """Return the IP address at the other end, or ``""`` where there is none."""
    if not isinstance(stream, TcpStream):
        return ""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ""


def send_now(stream: trio.abc.Stream, data: bytes) -> int:
    """Send what the system takes of ``data`` at once; return how many bytes it took.

    It is 0 for a stream that is no socket. No other send may be under way. Raises
    ``OSError`` when the connection is broken.
    """
    return stream.send_now(data) if isinstance(stream, TcpStream) else 0


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``address``.

    Raises ``ValueError`` when it isn't of the form ``IP:port`` or ``[IPv6]:port``.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isdecimal():
        raise ValueError(f"{address!r} is no address; write it as IP:port")
    return host, int(port)


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


async def _connect(address: str) -> TcpStream:
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
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=_BACKLOG)
    task_status.started(_printed(listeners[0].socket.getsockname()))
    await trio.serve_listeners(_accepting(handler), listeners)


def _accepting(
    handler: StreamHandler,
) -> Callable[[trio.SocketStream], Awaitable[None]]:
    async def accept(stream: trio.SocketStream) -> None:
        await handler(TcpStream(connected=stream.socket))

    return accept


def _printed(name: tuple[Any, ...]) -> str:
    host, port = name[0], name[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
