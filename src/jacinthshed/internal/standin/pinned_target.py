"""A stand-in for a target on the user's platform."""

from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from ..http.drain import Drain
from ..http.limits import HttpLimits
from ..http.message import Headers, Request, Response, header
from ..http.network import Network
from ..http.server import InterimHandler, serve_connection


class PinnedTarget:
    """Target that runs requests unless they are pinned to another target.

    ``work_ms`` is the duration of a request. ``status`` is the status of its response,
    and ``sealed`` whether the response has the field ``response-seal``.
    ``before_answer`` is called after the work, for instance to send nested calls, and
    returns the status to respond with. ``announced`` is added to the fields of each
    response. ``runs`` counts the runs of each attempt id, ``requests`` are the requests
    that ran, ``started_s`` when they started, and ``ended`` counts those that finished.
    """

    def __init__(self, *, target_id: str, work_ms: float = 10.0) -> None:
        self.target_id = target_id
        self.work_ms = work_ms
        self.status = 200
        self.sealed = True
        self.is_full = False
        self.before_answer: Callable[[Request], Awaitable[int]] | None = None
        self.runs: Counter[str] = Counter()
        self.announced: Headers = ()
        self.requests: list[Request] = []
        self.started_s: list[float] = []
        self.ended = 0

    async def serve(
        self,
        network: Network,
        address: str,
        *,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on ``address`` until cancelled."""
        drain = Drain()

        async def handle_connection(stream: trio.abc.Stream) -> None:
            await serve_connection(
                stream,
                self._handle,
                limits=HttpLimits(),
                drain=drain,
                cancel_on_disconnect=True,
            )

        await network.listen(address, handle_connection, task_status=task_status)

    async def _handle(self, request: Request, interim: InterimHandler) -> Response:
        attempt = header(request.headers, b"attempt-id") or b""
        pinned = header(request.headers, b"pin-instance")
        own_id = self.target_id.encode()
        if pinned not in (None, own_id):
            headers = ((b"instance-id", own_id), (b"not-executed", b"1"))
            return Response(421, (*headers, *self.announced))
        if self.is_full:
            return Response(503, ((b"not-executed", b"1"), *self.announced))
        self.runs[attempt.decode()] += 1
        self.requests.append(request)
        self.started_s.append(trio.current_time())
        await trio.sleep(self.work_ms / 1_000)
        status = self.status
        if self.before_answer is not None:
            status = await self.before_answer(request)
        self.ended += 1
        headers_sent: Headers = ((b"attempt-id", attempt),)
        if self.sealed:
            headers_sent += ((b"response-seal", b"seal-" + attempt),)
        headers_sent += self.announced
        return Response(status, headers_sent, b"ran by " + own_id)
