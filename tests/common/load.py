"""Load on a fleet, and what became of each request."""

from typing import NamedTuple

import trio

from jacinthshed.internal.http.message import Request, Response, header

VERDICT = b"jacinthshed-verdict"
FULL_RETRY_S = 0.02


class Ended(NamedTuple):
    """One request and its end; ``status`` is 0 when there was no response."""

    key: str
    sent_s: float
    ended_s: float
    status: int
    verdict: str
    reason: str


class Load:
    """Sends lookups and orders; a lookup carries a key only to be told from others."""

    def __init__(self, fleet, nursery):
        self.ended = []
        self._fleet = fleet
        self._nursery = nursery

    def send(self, entry, method, path, key, *, tries=1):
        """Send a request, ``tries`` times at most until it is answered."""
        self._nursery.start_soon(self._send, entry, method, path, key, tries)

    async def every(self, interval_s, seconds, entries, *, name, tries=1):
        """Send a lookup each ``interval_s`` for some seconds, by each entry in turn."""
        for number in range(round(seconds / interval_s)):
            entry = entries[number % len(entries)]
            self.send(entry, b"GET", b"/orders/lookup", f"{name}-{number}", tries=tries)
            await trio.sleep(interval_s)

    def of(self, name, since_s=0.0, until_s=float("inf")):
        """Return the ended requests of that name that were sent between two times."""
        return [
            ended
            for ended in self.ended
            if ended.key.startswith(name) and since_s <= ended.sent_s < until_s
        ]

    async def _send(self, entry, method, path, key, tries):
        fields = [(b"host", b"callers"), (b"idempotency-key", key.encode())]
        if method == b"POST":
            fields.append((b"jacinthshed-fence", b"new"))
        sent_s = trio.current_time()
        for _ in range(tries):
            outcome = await self._fleet.send(
                entry, Request(method, path, tuple(fields)), timeout_ms=4_000
            )
            if isinstance(outcome, Response) and outcome.status == 200:
                break
            await trio.sleep(FULL_RETRY_S)
        self.ended.append(Ended(key, sent_s, trio.current_time(), *_shown(outcome)))


def _shown(outcome):
    if not isinstance(outcome, Response):
        return 0, "", outcome.reason
    verdict = (header(outcome.headers, VERDICT) or b"").decode()
    reason = "" if outcome.status == 200 else outcome.body.decode()
    return outcome.status, verdict, reason
