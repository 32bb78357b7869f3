"""Pooled connections to one backend server."""

from collections import deque

import h11
import trio

from .errors import BadResponseError
from .exchange import ClientConnection, ResponseMatcher
from .message import InterimHandler, Request
from .network import Connect
from .outcome import ExchangeFailed, Outcome

_MS_PER_S = 1_000
# A connection is given up this long before its server would close it, as a request
# that crosses the close may have run.
_IDLE_MARGIN_MS = 1_000.0


class BackendPool:
    """Connections to one address, at most ``max_connections`` at once.

    A connection whose exchange did not end with a whole response is closed and never
    used again, so that no late bytes can be taken for the answer to another request.
    """

    def __init__(
        self,
        *,
        connect: Connect,
        address: str,
        max_connections: int,
        connect_timeout_ms: int = 1_000,
        idle_ms: int = 30_000,
    ) -> None:
        self._connect = connect
        self._address = address
        self._connect_timeout_s = connect_timeout_ms / _MS_PER_S
        self._idle_s = idle_ms / _MS_PER_S
        self._free = trio.CapacityLimiter(max_connections)
        self._idle: deque[ClientConnection] = deque()
        self._closed = False

    async def request(
        self,
        request: Request,
        *,
        timeout_ms: float,
        max_body_bytes: int,
        on_interim: InterimHandler | None = None,
        accepts: ResponseMatcher | None = None,
        scope: trio.CancelScope | None = None,
    ) -> Outcome:
        """Send ``request`` at most once and return how that ended.

        ``accepts`` tells the answer from one to an earlier request.
        ``timeout_ms`` covers the wait for a connection as well. When this or ``scope``
        is cancelled, the connection is closed, which cancels the request at the
        server; a cancelled ``scope`` counts as a timeout.
        """
        attempt = _Attempt()
        scope = scope or trio.CancelScope()
        scope.deadline = trio.current_time() + timeout_ms / _MS_PER_S
        with scope:
            return await self._attempt(
                attempt, request, max_body_bytes, on_interim, accepts
            )
        return ExchangeFailed(attempt.sent, "timeout", timed_out=True)

    def resize(self, max_connections: int) -> None:
        """Follow a new bound; connections above it end with their exchange."""
        self._free.total_tokens = max_connections

    async def close(self) -> None:
        """Close the idle connections; those in use close when their exchange ends."""
        self._closed = True
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop().stream)

    async def _attempt(
        self,
        attempt: "_Attempt",
        request: Request,
        max_body_bytes: int,
        on_interim: InterimHandler | None,
        accepts: ResponseMatcher | None,
    ) -> Outcome:
        await self._wait_for_turn(attempt)
        try:
            attempt.connection = await self._take_connection()
            return await self._exchange(
                attempt.connection, request, max_body_bytes, on_interim, accepts
            )
        except _ConnectError as error:
            return ExchangeFailed(False, str(error))
        finally:
            self._free.release_on_behalf_of(attempt)

    async def _wait_for_turn(self, attempt: "_Attempt") -> None:
        try:
            # Saves the turn of the scheduler that an acquire costs when all is free.
            self._free.acquire_on_behalf_of_nowait(attempt)
        except trio.WouldBlock:
            await self._free.acquire_on_behalf_of(attempt)

    async def _exchange(
        self,
        connection: ClientConnection,
        request: Request,
        max_body_bytes: int,
        on_interim: InterimHandler | None,
        accepts: ResponseMatcher | None,
    ) -> Outcome:
        try:
            return await connection.exchange(
                request,
                max_body_bytes=max_body_bytes,
                on_interim=on_interim,
                accepts=accepts,
            )
        except BadResponseError as error:
            return ExchangeFailed(connection.sent, str(error))
        except h11.LocalProtocolError as error:
            text = f"the request can't be written: {error}"
            sent = connection.sent
            return ExchangeFailed(sent, text, unwritable=not sent)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return ExchangeFailed(connection.sent, "the connection broke")
        finally:
            await self._put_back(connection)

    async def _take_connection(self) -> ClientConnection:
        await self._drop_expired()
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._open()

    def _is_usable(self, connection: ClientConnection) -> bool:
        limit_ms = connection.idle_limit_ms
        if limit_ms is not None:
            idle_ms = (trio.current_time() - connection.idle_since_s) * _MS_PER_S
            if idle_ms > limit_ms - min(limit_ms / 2, _IDLE_MARGIN_MS):
                return False
        return not connection.is_closed_by_peer()

    async def _open(self) -> ClientConnection:
        with trio.move_on_after(self._connect_timeout_s):
            try:
                stream = await self._connect(self._address)
            except (OSError, trio.BrokenResourceError) as error:
                raise _ConnectError(f"no connection: {error}") from error
            return ClientConnection(stream=stream)
        raise _ConnectError("connecting timed out")

    async def _drop_expired(self) -> None:
        """Close the longest idle connections; they stand at the left."""
        oldest_s = trio.current_time() - self._idle_s
        while self._idle and self._idle[0].idle_since_s < oldest_s:
            await trio.aclose_forcefully(self._idle.popleft().stream)

    async def _put_back(self, connection: ClientConnection) -> None:
        if connection.reusable and not self._closed:
            connection.idle_since_s = trio.current_time()
            self._idle.append(connection)
            return
        await trio.aclose_forcefully(connection.stream)


class _ConnectError(Exception):
    """No connection could be opened."""


class _Attempt:
    """The connection that a request went to, as far as it is known."""

    def __init__(self) -> None:
        self.connection: ClientConnection | None = None

    @property
    def sent(self) -> bool:
        return self.connection is not None and self.connection.sent
