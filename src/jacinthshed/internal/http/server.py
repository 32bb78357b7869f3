"""The server side of one HTTP connection."""

from collections.abc import Awaitable, Callable

import h11
import trio

from ..telemetry.log import get_logger
from ..timing.timer_scheduler import current_timer_scheduler
from ..verdict import Reason, Refusal, Verdict
from .disconnect import DisconnectWatch
from .drain import Drain
from .errors import BadRequestError
from .limits import HttpLimits
from .message import InterimHandler, Request, Response
from .problem import malformed_response, refusal_response
from .request_reader import IncomingRequest, RequestReader
from .response_writer import encode_closing_response, encode_interim, encode_response

RequestHandler = Callable[[Request, InterimHandler], Awaitable[Response]]

_MS_PER_S = 1_000
_LINGER_S = 0.5
_LINGER_BYTES = 1_048_576

log = get_logger(__name__)


async def serve_connection(
    stream: trio.abc.Stream,
    handler: RequestHandler,
    *,
    limits: HttpLimits,
    drain: Drain,
    cancel_on_disconnect: bool = False,
) -> None:
    """Serve the requests of ``stream`` until it ends, then close it.

    ``handler`` is called with complete and well-formed requests only; any other
    request is refused with a 4xx status and the connection is closed. With
    ``cancel_on_disconnect``, a handler is cancelled soon after its client closes, and
    none is started for a client that has already closed.
    """
    async with stream, trio.open_nursery() as nursery:
        connection = _Connection(
            stream=stream,
            handler=handler,
            limits=limits,
            drain=drain,
            cancel_on_disconnect=cancel_on_disconnect,
        )
        if cancel_on_disconnect:
            nursery.start_soon(connection.watch.run)
        await connection.serve()
        nursery.cancel_scope.cancel()


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
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
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
        )
        self.watch = DisconnectWatch(reader=self._reader, connection=self._scope)

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            with self._drain.connection():
                await self._serve_until_timeout()
        finally:
            self.watch.end()
            current_timer_scheduler().remove(self._timer)

    async def _serve_until_timeout(self) -> None:
        try:
            with self._scope:
                await self._serve_requests()
            if self._reader.is_partial:
                detail = f"send the complete request within {self._limits.read_ms} ms"
                await self._refuse_and_close(BadRequestError(408, detail))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _serve_requests(self) -> None:
        try:
            while (incoming := await self._reader.read()) is not None:
                if not await self._serve_request(incoming):
                    return
        except BadRequestError as error:
            self._reader.is_partial = False
            self._timer.set(trio.current_time() + _LINGER_S)
            await self._refuse_and_close(error)

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
            data = encode_response(incoming, response, closes)
        except h11.LocalProtocolError:
            log.exception("response can't be written", target=incoming.request.target)
            return False
        write_s = self._limits.write_ms / _MS_PER_S
        self._timer.set(trio.current_time() + write_s)
        await self._stream.send_all(data)
        return incoming.keeps_open and not closes

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

    async def _refuse_and_close(self, error: BadRequestError) -> None:
        """Send a refusal, then read until the client closes or a limit is reached.

        If the connection were closed with received bytes unread, the kernel would reset
        it and the client would lose the refusal.
        """
        verdict = Verdict.NOT_RUN
        if self._reader.may_be_resend:
            # This copy did not run, but an earlier one may have.
            verdict = Verdict.MAY_HAVE_RUN
        response = malformed_response(error.status, error.detail, verdict)
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
