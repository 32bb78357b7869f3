"""Probes whether the node's backend server accepts connections."""

from collections.abc import Callable

import trio

from ..http.client import BackendPool
from ..http.message import Request
from ..http.outcome import ExchangeFailed
from .clock import MS_PER_S

PROBE_TIMEOUT_MS = 1_000
MAX_HEALTH_BYTES = 65_536
HOST_HEADER = (b"host", b"backend")


class HealthTask:
    """Sends a request to the health endpoint each ``interval_ms``.

    The endpoint's answer can be late or wrong, so the server counts as up as long as a
    connection to it can be opened. ``on_change`` is called with each new state.
    """

    def __init__(
        self,
        *,
        pool: BackendPool,
        path: str,
        interval_ms: int,
        on_change: Callable[[bool], None],
    ) -> None:
        self._pool = pool
        self._request = Request(b"GET", path.encode(), (HOST_HEADER,))
        self._interval_ms = interval_ms
        self._on_change = on_change
        self.is_up = True

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            is_up = await self._probe()
            if is_up != self.is_up:
                self.is_up = is_up
                self._on_change(is_up)
            await trio.sleep(self._interval_ms / MS_PER_S)

    async def _probe(self) -> bool:
        outcome = await self._pool.request(
            self._request, timeout_ms=PROBE_TIMEOUT_MS, max_body_bytes=MAX_HEALTH_BYTES
        )
        return not isinstance(outcome, ExchangeFailed) or outcome.sent
