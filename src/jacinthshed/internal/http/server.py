"""The server side of one HTTP connection."""

from collections.abc import Awaitable, Callable

import h11
import trio

from ..memory.account import MemoryAccount
from ..telemetry.log import get_logger
from ..timing.timer_scheduler import current_timer_scheduler
from ..verdict import Reason, Refusal, Verdict
from .body_writer import send_message
from .disconnect import DisconnectWatch
from .drain import Drain
from .errors import BadRequestError, NoMemoryError
from .limits import HttpLimits
from .message import InterimHandler, Request, Response
from .problem import malformed_response, refusal_response
from .request_reader import IncomingRequest, RequestReader
from .response_writer import encode_closing_response, encode_interim, encode_response

RequestHandler = Callable[[Request, InterimHandler], Awaitable[Response]]

_MS_PER_S = 1_000
_LINGER_S = 0.5
_LINGER_BYTES = 1_048_576
_NO_ROOM_RETRY_MS = 1_000
_NO_ROOM = "the node holds too many bytes of other requests and answers"

log = get_logger(__name__)


async def serve_connection(
    stream: trio.abc.Stream,
    handler: RequestHandler,
    *,
    limits: HttpLimits,
    drain: Drain,
    cancel_on_disconnect: bool = False,
    memory: MemoryAccount | None = None,
) -> None:
    """Serve the requests of ``stream`` until it ends, then close it.

    ``handler`` is called with complete and well-formed requests only; any other
    request is refused with a 4xx status and the connection is closed. With
    ``cancel_on_disconnect``, a handler is cancelled soon after its client closes, and
    none is started for a client that has already closed. The bytes of the connection
    are charged to ``memory``, or to an account of its own.
    """
    async with stream, trio.open_nursery() as nursery:
        connection = _Connection(
            stream=stream,
            handler=handler,
            limits=limits,
            drain=drain,
            cancel_on_disconnect=cancel_on_disconnect,
            memory=memory or MemoryAccount(now_ms=_now_ms),
        )
        if cancel_on_disconnect:
            nursery.start_soon(connection.watch.run)
        await connection.serve()
        nursery.cancel_scope.cancel()


def _now_ms() -> float:
    return trio.current_time() * _MS_PER_S


class _Connection:
    """One server connection; a single timer serves all of its timeouts."""

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        handler: RequestHandler,
        limits: HttpLimits,
        drain: Drain,
        cancel_on_disconnect: bool,
        memory: MemoryAccount,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._memory = memory
        self._drain = drain
        self._cancel_on_disconnect = cancel_on_disconnect
        self._is_interim_cut = False
        self._scope = trio.CancelScope()
        self._timer = current_timer_scheduler().add(self._scope.cancel)
        self._reader = RequestReader(
            stream=stream,
            scope=self._scope,
            timer=self._timer,
            limits=limits,
            drain=drain,
            memory=memory,
        )
        self.watch = DisconnectWatch(reader=self._reader, connection=self._scope)

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            with self._drain.connection():
                await self._serve_until_timeout()
        finally:
            self.watch.end()
            self._reader.close()
            current_timer_scheduler().remove(self._timer)

    async def _serve_until_timeout(self) -> None:
        try:
            with self._scope:
                await self._serve_requests()
            if self._reader.is_partial:
                await self._respond_and_close(self._interrupted_response())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _serve_requests(self) -> None:
        refusal = await self._serve_until_refused()
        if refusal is not None:
            self._reader.is_partial = False
            self._timer.set(trio.current_time() + _LINGER_S)
            await self._respond_and_close(refusal)

    async def _serve_until_refused(self) -> Response | None:
        """Serve requests; return the refusal of one that can't be read.

        What was read of its body is freed before the refusal is sent.
        """
        try:
            while (incoming := await self._reader.read()) is not None:
                if not await self._serve_request(incoming):
                    break
        except NoMemoryError:
            return self._no_room_response()
        except BadRequestError as error:
            return malformed_response(error.status, error.detail, self._verdict())
        return None

    async def _serve_request(self, incoming: IncomingRequest) -> bool:
        """Respond to one request; return whether the connection can be reused."""
        if self._cancel_on_disconnect:
            # After a pause of this process, requests are buffered here whose callers
            # have given up and may have sent a copy through another entry node.
            if await self._reader.has_disconnected():
                return False
            self.watch.start()
        response = await self._handle(incoming)
        if self._cancel_on_disconnect:
            await self.watch.stop()
        if self._is_interim_cut:
            # The client would read the response as the rest of the interim one.
            return False
        closes = self._drain.started
        try:
            head, body = encode_response(incoming, response, closes)
        except h11.LocalProtocolError:
            log.exception("response can't be written", target=incoming.request.target)
            return False
        await send_message(
            self._stream,
            head,
            body,
            memory=self._memory,
            evict=self._scope.cancel,
            on_piece=self._start_write_timer,
        )
        return incoming.keeps_open and not closes

    def _start_write_timer(self) -> None:
        write_s = self._limits.write_ms / _MS_PER_S
        self._timer.set(trio.current_time() + write_s)

    async def _handle(self, incoming: IncomingRequest) -> Response:
        async def send_interim(interim: Response) -> None:
            if incoming.connection.their_http_version == b"1.1":
                data = encode_interim(incoming, interim)
                self._is_interim_cut = True
                await self._stream.send_all(data)
                self._is_interim_cut = False

        try:
            return await self._handler(incoming.request, send_interim)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            # An error in one request must not end the process and all other requests.
            log.exception("request handler failed", target=incoming.request.target)
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED)
            return refusal_response(refusal, status=500)

    def _interrupted_response(self) -> Response:
        """Return the refusal of a request whose reading was given up."""
        if self._reader.is_evicted:
            return self._no_room_response()
        detail = f"send the complete request within {self._limits.read_ms} ms"
        return malformed_response(408, detail, self._verdict())

    def _no_room_response(self) -> Response:
        """Return the refusal of a request whose body the node has no room for."""
        refusal = Refusal(self._verdict(), Reason.SHED, _NO_ROOM_RETRY_MS, _NO_ROOM)
        return refusal_response(refusal)

    def _verdict(self) -> Verdict:
        if self._reader.may_be_resend:
            # This copy did not run, but an earlier one may have.
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    async def _respond_and_close(self, response: Response) -> None:
        """Send a refusal, then read until the client closes or a limit is reached.

        If the connection were closed with received bytes unread, the kernel would reset
        it and the client would lose the refusal.
        """
        with trio.move_on_after(_LINGER_S):
            await self._stream.send_all(encode_closing_response(response))
            if isinstance(self._stream, trio.abc.HalfCloseableStream):
                await self._stream.send_eof()
            received = 0
            while received < _LINGER_BYTES:
                chunk = await self._stream.receive_some()
                if not chunk:
                    return
                received += len(chunk)
