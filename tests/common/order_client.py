"""A caller that sends one idempotency key in every permitted way."""

from jacinthshed.internal.http.message import Request, Response, header


class OrderClient:
    """Sends copies of one order and records the fence and the verdicts received.

    Only the first copy carries the fence ``new``; it does so again if that copy was not
    sent. Later copies carry the fence that was received, or none, as if the caller had
    lost it.
    """

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.fence = ""
        self.sent = 0
        self.outstanding = 0
        self.verdicts = []

    async def send(self, entry, *, keep_fence):
        """Send one copy through ``entry`` and record its verdict.

        A copy that was not sent counts as ``not-run``, one without an answer as
        ``unknown``.
        """
        stored_fence = self.fence if keep_fence else ""
        fence = "new" if self.sent == 0 else stored_fence
        self.sent += 1
        self.outstanding += 1
        headers = [(b"host", b"callers"), (b"idempotency-key", self.key.encode())]
        if fence:
            headers.append((b"jacinthshed-fence", fence.encode()))
        request = Request(b"POST", b"/orders/book", tuple(headers))
        outcome = await self.fleet.send(
            entry, request, timeout_ms=6_000, on_interim=self._store_fence
        )
        self.outstanding -= 1
        if isinstance(outcome, Response):
            await self._store_fence(outcome)
            verdict = (header(outcome.headers, b"jacinthshed-verdict") or b"").decode()
            self.verdicts.append(verdict)
        else:
            self.verdicts.append("not-run" if not outcome.sent else "unknown")
            if not outcome.sent and self.sent == 1:
                self.sent = 0

    async def _store_fence(self, response):
        fence = header(response.headers, b"jacinthshed-fence")
        if fence:
            self.fence = fence.decode()
