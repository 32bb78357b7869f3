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
from .response_writer import encode_interim, encode_last, encode_response

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
    """Answer the requests of ``stream`` until it ends; then close it.

    ``handler`` sees whole and well-formed requests only. Anything else is answered
    with a 4xx status and a closed connection. ``cancel_on_disconnect`` cancels a
    handler soon after its client has closed, and starts none for a client that is gone.
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
    """One connection and its timeouts, all of which use one timer."""

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
        """Answer requests until the connection is over."""
        try:
            with self._drain.connection():
                await self._serve()
        finally:
            self.watch.end()
            current_timer_scheduler().remove(self._timer)

    async def _serve(self) -> None:
        try:
            with self._scope:
                await self._serve_all()
            if self._reader.is_partial:
                text = f"send the whole request within {self._limits.read_ms} ms"
                await self._refuse_and_linger(BadRequestError(408, text))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _serve_all(self) -> None:
        try:
            while (incoming := await self._reader.read()) is not None:
                if not await self._serve_one(incoming):
                    return
        except BadRequestError as error:
            self._reader.is_partial = False
            self._timer.set(trio.current_time() + _LINGER_S)
            await self._refuse_and_linger(error)

    async def _serve_one(self, incoming: IncomingRequest) -> bool:
        """Answer one request; return whether the connection may carry another."""
        if self._cancel_on_disconnect:
            # After a pause of this process, requests wait here that their callers
            # have given up; a copy may long have gone through another entry.
            if await self._reader.has_disconnected():
                return False
            self.watch.start()
        response = await self._handle(incoming)
        if self._cancel_on_disconnect:
            await self.watch.stop()
        last = self._drain.started
        try:
            data = encode_response(incoming, response, last)
        except h11.LocalProtocolError:
            log.exception("response can't be written", target=incoming.request.target)
            return False
        write_s = self._limits.write_ms / _MS_PER_S
        self._timer.set(trio.current_time() + write_s)
        await self._stream.send_all(data)
        return incoming.connection.our_state is not h11.MUST_CLOSE and not last

    async def _handle(self, incoming: IncomingRequest) -> Response:
        async def send_interim(interim: Response) -> None:
            if incoming.connection.their_http_version == b"1.1":
                await self._stream.send_all(encode_interim(incoming, interim))

        try:
            return await self._handler(incoming.request, send_interim)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            # One request's fault must not take the process and all others with it.
            log.exception("request handler failed", target=incoming.request.target)
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.BACKEND_FAILED)
            return refusal_response(refusal, status=500)

    async def _refuse_and_linger(self, error: BadRequestError) -> None:
        """Send a refusal, and read on until the client has had time to take it.

        Closing while received bytes are unread makes the kernel reset the connection,
        and the client would lose the refusal.
        """
        verdict = Verdict.NOT_RUN
        if self._reader.may_be_resend:
            # This copy did not run. An earlier one may have.
            verdict = Verdict.MAY_HAVE_RUN
        response = malformed_response(error.status, error.detail, verdict)
        with trio.move_on_after(_LINGER_S):
            await self._stream.send_all(encode_last(response))
            if isinstance(self._stream, trio.abc.HalfCloseableStream):
                await self._stream.send_eof()
            received = 0
            while received < _LINGER_BYTES:
                chunk = await self._stream.receive_some()
                if not chunk:
                    return
                received += len(chunk)
