"""A stand-in for a target of the users' platform."""

from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from ..http.drain import Drain
from ..http.limits import HttpLimits
from ..http.message import Headers, Request, Response, header
from ..http.network import Network
from ..http.server import InterimHandler, serve_connection


class PinnedTarget:
    """Runs requests that name it, and notes every one that it ran.

    ``work_ms`` is how long a request runs. ``status`` is what it answers with, and
    ``sealed`` whether with its receipt. ``before_answer`` makes calls of its own, and
    gives the status to answer with.
    """

    def __init__(self, *, target_id: str, work_ms: float = 10.0) -> None:
        self.target_id = target_id
        self.work_ms = work_ms
        self.status = 200
        self.sealed = True
        self.is_full = False
        self.before_answer: Callable[[Request], Awaitable[int]] | None = None
        self.runs: Counter[str] = Counter()
        self.requests: list[Request] = []
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

        async def connected(stream: trio.abc.Stream) -> None:
            await serve_connection(
                stream,
                self._handle,
                limits=HttpLimits(),
                drain=drain,
                cancel_on_disconnect=True,
            )

        await network.listen(address, connected, task_status=task_status)

    async def _handle(self, request: Request, interim: InterimHandler) -> Response:
        attempt = header(request.headers, b"attempt-id") or b""
        pinned = header(request.headers, b"pin-instance")
        own_id = self.target_id.encode()
        if pinned not in (None, own_id):
            headers = ((b"instance-id", own_id), (b"not-executed", b"1"))
            return Response(421, headers)
        if self.is_full:
            return Response(503, ((b"not-executed", b"1"),))
        self.runs[attempt.decode()] += 1
        self.requests.append(request)
        await trio.sleep(self.work_ms / 1_000)
        status = self.status
        if self.before_answer is not None:
            status = await self.before_answer(request)
        self.ended += 1
        answered: Headers = ((b"attempt-id", attempt),)
        if self.sealed:
            answered += ((b"response-seal", b"seal-" + attempt),)
        return Response(status, answered, b"ran by " + own_id)
