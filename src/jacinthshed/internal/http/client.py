"""Pooled connections to one backend server."""

from collections import deque

import h11
import trio

from ..memory.account import MemoryAccount
from .errors import BadResponseError
from .exchange import ClientConnection
from .matching import ResponseMatcher
from .message import InterimHandler, Request
from .network import Connect
from .outcome import ExchangeFailed, Outcome

_MS_PER_S = 1_000
# An idle connection is discarded this long before the server closes it: a request that
# is sent while the server closes may or may not have run.
_IDLE_MARGIN_MS = 1_000.0


class BackendPool:
    """A pool of at most ``max_connections`` connections to one address.

    A connection whose exchange did not end with a complete response is closed and
    never reused, so that late bytes can't be taken for the response to another
    request. ``connect_timeout_ms`` bounds the opening of a connection. Connections that
    were idle for more than ``idle_ms`` are closed by the next request. Long responses
    are charged to ``memory``.
    """

    def __init__(
        self,
        *,
        connect: Connect,
        address: str,
        max_connections: int,
        connect_timeout_ms: int = 1_000,
        idle_ms: int = 30_000,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._memory = memory
        self._connect = connect
        self._address = address
        self._connect_timeout_s = connect_timeout_ms / _MS_PER_S
        self._idle_s = idle_ms / _MS_PER_S
        self._slots = trio.CapacityLimiter(max_connections)
        self._idle_connections: deque[ClientConnection] = deque()
        self._closed = False
        # A server that echoes the id on some of its responses only may send one without
        # it on any connection, where it could not be matched.
        self._uses_connections_once = False

    async def request(
        self,
        request: Request,
        *,
        timeout_ms: float,
        max_body_bytes: int,
        on_interim: InterimHandler | None = None,
        matcher: ResponseMatcher | None = None,
        scope: trio.CancelScope | None = None,
    ) -> Outcome:
        """Send ``request`` at most once and return the outcome.

        ``on_interim`` is called with each interim response. ``matcher`` tells the
        response to this request from those to earlier ones.
        ``timeout_ms`` includes the wait for a free connection. When this call or
        ``scope`` is cancelled, the connection is closed, which cancels the request at
        the server; a cancelled ``scope`` counts as a timeout.
        """
        attempt = _Attempt()
        scope = scope or trio.CancelScope()
        scope.deadline = trio.current_time() + timeout_ms / _MS_PER_S
        with scope:
            return await self._attempt(
                attempt, request, max_body_bytes, on_interim, matcher
            )
        return ExchangeFailed(attempt.sent, "timeout", timed_out=True)

    def resize(self, max_connections: int) -> None:
        """Set ``max_connections``; exchanges in progress are not interrupted."""
        self._slots.total_tokens = max_connections

    async def close(self) -> None:
        """Close idle connections; the others close when their exchange ends."""
        self._closed = True
        while self._idle_connections:
            await trio.aclose_forcefully(self._idle_connections.pop().stream)

    async def _attempt(
        self,
        attempt: "_Attempt",
        request: Request,
        max_body_bytes: int,
        on_interim: InterimHandler | None,
        matcher: ResponseMatcher | None,
    ) -> Outcome:
        await self._acquire_slot(attempt)
        try:
            attempt.connection = await self._get_connection(matcher)
            return await self._exchange(
                attempt.connection, request, max_body_bytes, on_interim, matcher
            )
        except _ConnectError as error:
            return ExchangeFailed(False, str(error))
        finally:
            self._slots.release_on_behalf_of(attempt)

    async def _acquire_slot(self, attempt: "_Attempt") -> None:
        try:
            # Avoids the checkpoint that ``acquire`` makes even with a free slot.
            self._slots.acquire_on_behalf_of_nowait(attempt)
        except trio.WouldBlock:
            await self._slots.acquire_on_behalf_of(attempt)

    async def _exchange(
        self,
        connection: ClientConnection,
        request: Request,
        max_body_bytes: int,
        on_interim: InterimHandler | None,
        matcher: ResponseMatcher | None,
    ) -> Outcome:
        try:
            return await connection.exchange(
                request,
                max_body_bytes=max_body_bytes,
                on_interim=on_interim,
                matcher=matcher,
            )
        except BadResponseError as error:
            return ExchangeFailed(connection.sent, str(error))
        except h11.LocalProtocolError as error:
            text = f"the request can't be encoded: {error}"
            sent = connection.sent
            return ExchangeFailed(sent, text, unwritable=not sent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return ExchangeFailed(connection.sent, "the connection to the server broke")
        finally:
            await self._release_connection(connection)

    async def _get_connection(
        self, matcher: ResponseMatcher | None
    ) -> ClientConnection:
        await self._close_expired()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if self._is_usable(connection, matcher):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._open_connection()

    def _is_usable(
        self, connection: ClientConnection, matcher: ResponseMatcher | None
    ) -> bool:
        if self._uses_connections_once:
            return False
        if matcher is not None and connection.has_carried(matcher.request_id):
            return False
        limit_ms = connection.idle_limit_ms
        if limit_ms is not None:
            idle_ms = (trio.current_time() - connection.idle_since_s) * _MS_PER_S
            if idle_ms > limit_ms - min(limit_ms / 2, _IDLE_MARGIN_MS):
                return False
        return not connection.is_closed_by_peer()

    async def _open_connection(self) -> ClientConnection:
        with trio.move_on_after(self._connect_timeout_s):
            try:
                stream = await self._connect(self._address)
            except (OSError, trio.BrokenResourceError) as error:
                raise _ConnectError(
                    f"could not connect to the server: {error}"
                ) from error
            return ClientConnection(stream=stream, memory=self._memory)
        raise _ConnectError("connecting to the server timed out")

    async def _close_expired(self) -> None:
        """Close connections that were idle too long; the oldest are leftmost."""
        oldest_s = trio.current_time() - self._idle_s
        while (
            self._idle_connections and self._idle_connections[0].idle_since_s < oldest_s
        ):
            await trio.aclose_forcefully(self._idle_connections.popleft().stream)

    async def _release_connection(self, connection: ClientConnection) -> None:
        self._uses_connections_once |= connection.lacked_id
        is_reusable = connection.reusable and not self._uses_connections_once
        if is_reusable and not self._closed:
            connection.idle_since_s = trio.current_time()
            self._idle_connections.append(connection)
            return
        await trio.aclose_forcefully(connection.stream)


class _ConnectError(Exception):
    """No connection could be opened."""


class _Attempt:
    """The connection of one request, or ``None`` before one is assigned."""

    def __init__(self) -> None:
        self.connection: ClientConnection | None = None

    @property
    def sent(self) -> bool:
        return self.connection is not None and self.connection.sent
