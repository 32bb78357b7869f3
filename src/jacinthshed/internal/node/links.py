"""The links of one node, by link number and by peer host."""

import itertools
from collections.abc import Callable, Iterator

import trio

from ..bundle.model import MembershipPolicy
from ..http.network import Connect
from ..memory.account import MemoryAccount
from ..telemetry.log import get_logger
from ..telemetry.traffic import Traffic
from ..wire.frames import Frame, Hello, Withdraw
from .clock import Clock
from .link import Channel, FrameHandler, Link
from .local_link import LocalLink
from .one_shot import OneShot

log = get_logger(__name__)

CONNECT_TIMEOUT_S = 1.0


class LinkTable:
    """Opens links on demand and tracks those that peers opened.

    ``address_of`` returns the peer address of a host, or ``None``. ``on_closed`` is
    called with the number of each closed link, ``on_reached`` and ``on_failed`` with
    the host to which a link was opened or could not be opened. Large bodies are charged
    to ``memory``, and what is sent to peers is counted in ``traffic``.
    """

    def __init__(
        self,
        *,
        connect: Connect,
        clock: Clock,
        policy: Callable[[], MembershipPolicy],
        hello: Callable[[], Hello],
        address_of: Callable[[str], str | None],
        on_frame: FrameHandler,
        on_closed: Callable[[int], None],
        on_failed: Callable[[str], None],
        on_reached: Callable[[str], None],
        memory: MemoryAccount,
        traffic: Traffic,
    ) -> None:
        self._memory = memory
        self._traffic = traffic
        self._connect = connect
        self._clock = clock
        self._policy = policy
        self._hello = hello
        self._address_of = address_of
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._on_failed = on_failed
        self._on_reached = on_reached
        self._numbers = itertools.count(1)
        self._by_number: dict[int, Channel] = {}
        self._by_host: dict[str, Channel] = {}
        self._opening: dict[str, OneShot[Channel | None]] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which links run."""
        self._nursery = nursery

    def add_local(self, local: LocalLink, host: str) -> None:
        """Use ``local`` for frames to this node's own host."""
        self._by_number[local.number] = local
        self._by_host[host] = local

    def get(self, number: int) -> Channel | None:
        """Return the open link with ``number``, or ``None``."""
        return self._by_number.get(number)

    def to_host(self, host: str) -> Channel | None:
        """Return the open link to ``host`` for new frames, or ``None``."""
        channel = self._by_host.get(host)
        if isinstance(channel, Link) and channel.silent:
            del self._by_host[host]
            return None
        return channel

    def stream_links(self) -> Iterator[Link]:
        """Yield each link to a peer; the local link has no stream."""
        for channel in list(self._by_number.values()):
            if isinstance(channel, Link):
                yield channel

    def withdraw_waiting(self) -> None:
        """Ask the peers to refuse the requests that were sent and have not started."""
        for channel in list(self._by_number.values()):
            for request_id in list(channel.exchanges):
                channel.send(Withdraw(request_id))

    def send_soon(self, host: str, frame: Frame) -> None:
        """Send ``frame`` to ``host``, on a new link if none is open."""
        assert self._nursery is not None
        self._nursery.start_soon(self._open_and_send, host, frame)

    async def open(self, host: str) -> Channel | None:
        """Return a link to ``host``, opening one if needed, or ``None`` on failure."""
        channel = self.to_host(host)
        if channel is not None:
            return channel
        opening = self._opening.get(host)
        if opening is None:
            opening = self._start_opening(host)
        return await opening.wait()

    async def open_address(self, address: str) -> Channel | None:
        """Return a new link to the node at ``address``, or ``None`` on failure."""
        link: Link | None = None
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            link = await self._dial(address)
            if link is None:
                return None
            opened: OneShot[Hello | None] = OneShot()
            assert self._nursery is not None
            self._nursery.start_soon(self._run, link, opened)
            return link if await opened.wait() is not None else None
        if link is not None:
            link.close()
        return None

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Run a link that a peer opened."""
        await self._run(self._new_link(stream), OneShot())

    async def _open_and_send(self, host: str, frame: Frame) -> None:
        channel = await self.open(host)
        if channel is not None:
            channel.send(frame)

    def _start_opening(self, host: str) -> OneShot[Channel | None]:
        opening: OneShot[Channel | None] = OneShot()
        self._opening[host] = opening
        assert self._nursery is not None
        self._nursery.start_soon(self._open, host, opening)
        return opening

    async def _open(self, host: str, opening: OneShot[Channel | None]) -> None:
        try:
            channel = await self._open_to_host(host)
        finally:
            self._opening.pop(host, None)
            opening.set(None)
        if channel is None:
            self._on_failed(host)

    async def _open_to_host(self, host: str) -> Channel | None:
        address = self._address_of(host)
        if address is None:
            return None
        opening = self._opening[host]
        channel = await self.open_address(address)
        # The address may belong to another host since the view was updated.
        if channel is None or channel.peer is None or channel.peer.record.host != host:
            return None
        self._by_host.setdefault(host, channel)
        opening.set(channel)
        self._on_reached(host)
        return channel

    async def _dial(self, address: str) -> Link | None:
        try:
            return self._new_link(await self._connect(address))
        except (OSError, trio.BrokenResourceError):
            return None
        except Exception:
            # One peer that can't be reached must not end the node.
            log.exception("opening a link failed", address=address)
            return None

    def _new_link(self, stream: trio.abc.Stream) -> Link:
        return Link(
            number=next(self._numbers),
            stream=stream,
            clock=self._clock,
            policy=self._policy(),
            on_frame=self._on_frame,
            memory=self._memory,
            traffic=self._traffic.new_link(self._hello().record.availability_zone),
        )

    async def _run(self, link: Link, opened: OneShot[Hello | None]) -> None:
        self._by_number[link.number] = link
        try:
            await link.run(self._hello(), opened)
        finally:
            self._remove(link)

    def _remove(self, link: Link) -> None:
        self._by_number.pop(link.number, None)
        if link.peer is not None and self._by_host.get(link.peer.record.host) is link:
            del self._by_host[link.peer.record.host]
        self._on_closed(link.number)
