"""Sends requests to a fleet and records how each of them ended."""

from typing import NamedTuple

import trio

from jacinthshed.internal.http.message import Request, Response, header

VERDICT = b"jacinthshed-verdict"
RETRY_INTERVAL_S = 0.02


class Ended(NamedTuple):
    """One request and its result; ``status`` is 0 when there was no response.

    ``sent_s`` and ``ended_s`` are times of trio's clock. ``reason`` is the body of a
    response other than 200, or the reason why there was no response.
    """

    key: str
    sent_s: float
    ended_s: float
    status: int
    verdict: str
    reason: str


class Load:
    """Sends lookups and orders.

    A lookup carries an idempotency key only to identify it among the results.
    """

    def __init__(self, fleet, nursery):
        self.ended = []
        self._fleet = fleet
        self._nursery = nursery

    def send(self, entry, method, path, key, *, tries=1):
        """Send a request at most ``tries`` times, until it is answered with 200."""
        self._nursery.start_soon(self._send, entry, method, path, key, tries)

    async def every(self, interval_s, seconds, entries, *, name, tries=1):
        """Send a lookup every ``interval_s`` for ``seconds``, to each entry in turn."""
        for number in range(round(seconds / interval_s)):
            entry = entries[number % len(entries)]
            self.send(entry, b"GET", b"/orders/lookup", f"{name}-{number}", tries=tries)
            await trio.sleep(interval_s)

    def of(self, name, since_s=0.0, until_s=float("inf")):
        """Return the ended requests whose key starts with ``name``.

        Only those sent from ``since_s`` on and before ``until_s`` are returned.
        """
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
            await trio.sleep(RETRY_INTERVAL_S)
        self.ended.append(
            Ended(key, sent_s, trio.current_time(), *_result_fields(outcome))
        )


def _result_fields(outcome):
    if not isinstance(outcome, Response):
        return 0, "", outcome.reason
    verdict = (header(outcome.headers, VERDICT) or b"").decode()
    reason = "" if outcome.status == 200 else outcome.body.decode()
    return outcome.status, verdict, reason
