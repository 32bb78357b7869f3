"""A link: one stream between two nodes."""

from collections.abc import Callable
from typing import Protocol

import trio

from ..bundle.model import MembershipPolicy
from ..flow.large_bodies import IncomingBodies, OutgoingBodies, is_large
from ..http.network import send_now
from ..membership.link_health import LinkHealth
from ..memory.account import MemoryAccount
from ..telemetry.log import get_logger
from ..telemetry.traffic import LinkTraffic, Traffic
from ..wire.codec import PROTOCOL_VERSION, FrameBuffer, FrameError, encode
from ..wire.frames import Cancel, Frame, Heartbeat, Hello, Reply, Submit
from ..wire.pieces import BodyDecision, BodyPiece, LargeBody
from .clock import Clock
from .one_shot import OneShot

log = get_logger(__name__)

RECEIVE_BYTES = 65_536
BURST_GAP_MS = 0.2
MAX_OUTBOX_BYTES = 64 * 1024 * 1024

ExchangeResult = Frame | None
"""The frame that ends an exchange, or ``None`` if the link closed first."""


class Channel(Protocol):
    """Sends frames to a node: a link to a peer, or the local link to this node."""

    number: int
    exchanges: dict[str, OneShot[ExchangeResult]]
    unrepeatable: set[str]

    @property
    def peer(self) -> Hello | None:
        """The hello of the node at the other end, or ``None`` before it arrives."""

    def send(self, frame: Frame) -> None:
        """Queue ``frame``; never blocks."""


FrameHandler = Callable[["Channel", Frame], None]


class Link:
    """Owns one stream: its reader, its writer and the exchanges pending on it.

    Frames that are queued while the writer is busy are sent in one call. Large bodies
    are charged to ``memory`` and sent in pieces between the other frames. All frames
    are counted in ``traffic`` when they are queued.

    A link whose peer is ``silent`` takes no new requests. It stays open while it has
    exchanges in ``unrepeatable``: their requests may be running at the peer and must
    not be sent again, and a peer that was only suspended still answers them here.
    """

    def __init__(
        self,
        *,
        number: int,
        stream: trio.abc.Stream,
        clock: Clock,
        policy: MembershipPolicy,
        on_frame: FrameHandler,
        memory: MemoryAccount | None = None,
        traffic: LinkTraffic | None = None,
    ) -> None:
        self.number = number
        self.peer: Hello | None = None
        self.exchanges: dict[str, OneShot[ExchangeResult]] = {}
        self.unrepeatable: set[str] = set()
        self.silent = False
        self.health = LinkHealth(now_ms=clock.now_ms(), policy=policy)
        self.closed = False
        self._stream = stream
        self._clock = clock
        self._traffic = traffic or Traffic().new_link("")
        self._on_frame = on_frame
        self._outgoing = OutgoingBodies(is_wanted=self._is_wanted)
        self._incoming = IncomingBodies(
            memory=memory or MemoryAccount(now_ms=clock.now_ms),
            decide=lambda number, is_accepted: self.send(
                BodyDecision(number, is_accepted)
            ),
        )
        self._outbox: list[bytes] = []
        self._outbox_bytes = 0
        self._writing = False
        self._last_sent_ms = float("-inf")
        self._wake = trio.Event()
        self._scope = trio.CancelScope()
        self._heartbeat_sequence = 0
        self._opened_ms = clock.now_ms()
        self._hello_timeout_ms = policy.silent_after_ms

    def send(self, frame: Frame) -> None:
        """Queue ``frame`` for the peer.

        If the peer doesn't read and the queue exceeds ``MAX_OUTBOX_BYTES``, the link is
        closed.
        """
        if self.closed:
            return
        now_ms = self._clock.now_ms()
        if isinstance(frame, Submit):
            self.health.request_sent(now_ms)
        try:
            sent = self._outgoing.announce(frame) if is_large(frame) else frame
            data = self._traffic.count(type(sent), encode(sent))
        except FrameError:
            # Only this exchange fails, at its deadline; the link stays open for others.
            log.exception("frame can't be sent", link=self.number)
            return
        if not (data := self._send_now(now_ms, data)):
            return
        self._outbox.append(data)
        self._outbox_bytes += len(data)
        if self._outbox_bytes > MAX_OUTBOX_BYTES:
            self.close()
        self._wake.set()

    def _send_now(self, now_ms: float, data: bytes) -> bytes:
        """Send a frame that is not part of a burst; return the unsent rest.

        This saves waking the writer. Frames in quick succession are left to the writer,
        which sends them in one system call.
        """
        in_burst = now_ms - self._last_sent_ms < BURST_GAP_MS
        self._last_sent_ms = now_ms
        if in_burst or self._writing or self._outbox:
            return data
        try:
            return data[send_now(self._stream, data) :]
        except (OSError, trio.ClosedResourceError):
            self.close()
            return b""

    def close(self) -> None:
        """Close the link; its pending exchanges end with ``None``."""
        self.closed = True
        self._scope.cancel()

    def tick(self, now_ms: float, *, carries_gossip: bool) -> bool:
        """Send a heartbeat if one is due; close the link if the peer is silent.

        Return whether the peer was found to be silent just now. If the link
        ``carries_gossip``, its silence is detected while there are no requests, too.
        """
        was_silent = self.silent
        hello_overdue = (
            self.peer is None and now_ms - self._opened_ms > self._hello_timeout_ms
        )
        if hello_overdue:
            self.close()
        elif self.silent or self.health.is_silent(now_ms):
            self._retire()
        elif self.health.is_heartbeat_due(now_ms, carries_gossip=carries_gossip):
            self._heartbeat_sequence += 1
            self.send(Heartbeat(self._heartbeat_sequence, echo=True))
            self.health.heartbeat_sent(now_ms)
        return self.silent and not was_silent

    def _retire(self) -> None:
        """End the exchanges whose requests may be repeated elsewhere.

        Without others the link is closed, which cancels the requests at the peer.
        """
        self.silent = True
        if not self.unrepeatable:
            self.close()
            return
        for request_id in [*self.exchanges]:
            if request_id not in self.unrepeatable:
                self.exchanges.pop(request_id).set(None)
                self.send(Cancel(request_id, "", ""))

    async def run(self, hello: Hello, opened: OneShot[Hello | None]) -> None:
        """Send and receive frames until the stream ends.

        ``opened`` is set to the peer's hello, or to ``None`` if the link ends first.
        """
        try:
            with self._scope:
                async with self._stream, trio.open_nursery() as nursery:
                    self.send(hello)
                    nursery.start_soon(self._write)
                    await self._read(opened)
                    nursery.cancel_scope.cancel()
        finally:
            self.closed = True
            self._incoming.close()
            opened.set(None)
            self._end_exchanges()

    async def flushed(self) -> None:
        """Wait until the queue is sent or the link is closed."""
        while not self.closed and (self._outbox or self._writing or self._outgoing):
            await trio.sleep(0.01)

    def _is_wanted(self, frame: Frame) -> bool:
        return isinstance(frame, Reply) or (
            isinstance(frame, Submit) and frame.request_id in self.exchanges
        )

    async def _read(self, opened: OneShot[Hello | None]) -> None:
        buffer = FrameBuffer()
        try:
            while data := await self._stream.receive_some(RECEIVE_BYTES):
                self.health.frame_received(self._clock.now_ms())
                for frame in buffer.feed(data):
                    self._handle(frame, opened)
        except (FrameError, trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except Exception:
            # A frame from one peer must not stop the node and its other work.
            log.exception("frame handler failed", link=self.number)

    def _handle(self, frame: Frame, opened: OneShot[Hello | None]) -> None:
        if self.peer is None:
            if not isinstance(frame, Hello) or frame.protocol != PROTOCOL_VERSION:
                raise FrameError(
                    "the first frame must be a hello of this node's protocol version"
                )
            self.peer = frame
            self._traffic.peer_known(frame.record.host, frame.record.availability_zone)
            self._on_frame(self, frame)
            opened.set(frame)
        elif isinstance(frame, Heartbeat):
            if frame.echo:
                self.send(Heartbeat(frame.sequence, echo=False))
        elif isinstance(frame, LargeBody | BodyPiece | BodyDecision):
            self._handle_body(frame)
        else:
            self._on_frame(self, frame)

    def _handle_body(self, frame: LargeBody | BodyPiece | BodyDecision) -> None:
        if isinstance(frame, BodyDecision):
            self._outgoing.decided(frame)
            self._wake.set()
        elif isinstance(frame, BodyPiece):
            if (whole := self._incoming.add(frame)) is not None:
                self._on_frame(self, whole)
        else:
            refusal = self._incoming.begin(frame)
            if refusal is not None and refusal.request_id in self.exchanges:
                self._on_frame(self, refusal)
            elif refusal is not None:
                self.send(refusal)

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                while data := self._take_data():
                    self._writing = True
                    await self._stream.send_all(data)
                    self._writing = False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._scope.cancel()

    def _take_data(self) -> bytes:
        """Return the queued frames, or else the next piece of a large body."""
        if not self._outbox:
            return self._traffic.count(BodyPiece, self._outgoing.next_piece())
        data = b"".join(self._outbox)
        self._outbox.clear()
        self._outbox_bytes = 0
        return data

    def _end_exchanges(self) -> None:
        for exchange in self.exchanges.values():
            exchange.set(None)
        self.exchanges.clear()
        self.unrepeatable.clear()


def finish_exchange(channel: Channel, request_id: str, frame: Frame) -> bool:
    """End the exchange that waits for ``frame``; return whether there was one."""
    if (exchange := _pop_exchange(channel, request_id)) is None:
        return False
    exchange.set(frame)
    return True


def abandon_exchange(channel: Channel, request_id: str) -> None:
    """Remove an exchange; a later frame for it is dropped."""
    _pop_exchange(channel, request_id)


def _pop_exchange(channel: Channel, request_id: str) -> OneShot[ExchangeResult] | None:
    channel.unrepeatable.discard(request_id)
    exchange = channel.exchanges.pop(request_id, None)
    if exchange is not None and isinstance(channel, Link):
        channel.health.request_ended()
    return exchange
