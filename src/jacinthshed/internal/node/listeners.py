"""The HTTP listeners of a node: entry, egress, readiness and metrics."""

from collections.abc import Callable
from functools import partial

import trio

from ..bundle.model import SizeLimits
from ..http.connection_limit import limit_connections
from ..http.drain import Drain
from ..http.limits import HttpLimits
from ..http.message import Request, Response
from ..http.network import Network, StreamHandler, peer_ip
from ..http.server import InterimHandler, RequestHandler, serve_connection
from ..memory.account import Kind, MemoryAccount
from ..settings.address import Address
from ..settings.model import NodeSettings
from .caller_connections import CallerConnections
from .gateway import Gateway

METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")


class Listeners:
    """Owns the connections of callers and of the backend server.

    ``sizes`` returns the limits in force, ``is_ready`` whether callers may use this
    node, and ``metrics_page`` the metrics in the text exposition format. What callers
    send and read is charged to ``memory``.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        network: Network,
        gateway: Gateway,
        sizes: Callable[[], SizeLimits],
        is_ready: Callable[[], bool],
        metrics_page: Callable[[], bytes],
        memory: MemoryAccount,
    ) -> None:
        self._memory = memory
        self._settings = settings
        self._network = network
        self._gateway = gateway
        self._sizes = sizes
        self._is_ready = is_ready
        self._metrics_page = metrics_page
        self._callers = CallerConnections()
        self._entry_drain = Drain()
        # The egress is never drained: a request still running here may need it.
        self._egress_drain = Drain()

    @property
    def busy(self) -> int:
        """Number of connections that read a request, serve it or write its answer."""
        return self._entry_drain.busy + self._egress_drain.busy

    async def start(self, nursery: trio.Nursery) -> tuple[str, str]:
        """Start listening; return the addresses of the entry and the egress.

        Raises ``OSError`` when an address can't be listened on.
        """
        listen = self._settings.listen
        entry = await self._listen(nursery, listen.entry, self._serve_entry)
        egress = ""
        if listen.egress is not None:
            serve = self._stream_handler(self._gateway.serve_egress)
            egress = await self._listen(nursery, listen.egress, serve)
        if listen.ready is not None:
            serve = self._stream_handler(self._answer_ready)
            await self._listen(nursery, listen.ready, serve)
        if listen.metrics is not None:
            serve = self._stream_handler(self._answer_metrics)
            await self._listen(nursery, listen.metrics, serve)
        return entry, egress

    def drain_entry(self) -> None:
        """Close each caller's connection once it has no request in progress."""
        self._entry_drain.start()

    def close_callers(self) -> None:
        """Close callers' connections at once, also those with a request in progress."""
        self._callers.close_all()

    async def _listen(
        self, nursery: trio.Nursery, address: Address, handler: StreamHandler
    ) -> str:
        limit = self._settings.http.connections
        limited = limit_connections(
            handler,
            max_connections=limit,
            make_room=lambda: self._memory.evict_oldest(Kind.CONNECTION),
        )
        bound: str = await nursery.start(self._network.listen, str(address), limited)
        return bound

    async def _serve_entry(self, stream: trio.abc.Stream) -> None:
        handler = partial(self._gateway.serve_entry, caller=peer_ip(stream))
        with self._callers.connection():
            await self._serve(stream, handler, self._entry_drain)

    def _stream_handler(self, handler: RequestHandler) -> StreamHandler:
        async def serve(stream: trio.abc.Stream) -> None:
            await self._serve(stream, handler, self._egress_drain)

        return serve

    async def _serve(
        self, stream: trio.abc.Stream, handler: RequestHandler, drain: Drain
    ) -> None:
        http = self._settings.http
        sizes = self._sizes()
        limits = HttpLimits(
            head_bytes=sizes.head_bytes or http.head_bytes,
            body_bytes=min(sizes.request_bytes, self._memory.largest_bytes),
            idle_ms=sizes.idle_ms or http.idle_ms,
            read_ms=sizes.read_ms or http.read_ms,
        )
        await serve_connection(
            stream,
            handler,
            limits=limits,
            drain=drain,
            cancel_on_disconnect=True,
            memory=self._memory,
        )

    async def _answer_ready(
        self, request: Request, interim: InterimHandler
    ) -> Response:
        return Response(200 if self._is_ready() else 503)

    async def _answer_metrics(
        self, request: Request, interim: InterimHandler
    ) -> Response:
        return Response(200, (METRICS_TYPE,), self._metrics_page())
