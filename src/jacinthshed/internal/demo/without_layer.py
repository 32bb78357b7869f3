"""The deployment without the layer: targets are called directly, with retries."""

import random
from collections import defaultdict

import trio

from ..http.client import BackendPool
from ..http.message import Request, Response
from ..http.network import Network
from ..http.outcome import ExchangeFailed, Outcome
from .backends import start_backend
from .load import Send
from .scenario import BACKENDS, DEADLINE_MS, TARGETS_PER_SERVICE, DemoRoute

RETRIES = 3
ATTEMPT_TIMEOUT_MS = 500.0

_MAX_CONNECTIONS = 400
_MAX_ANSWER_BYTES = 1_048_576
_BACKOFF_S = 0.05


class DirectCalls:
    """Sends each call to a random target and retries failed calls."""

    def __init__(self, *, network: Network, rng: random.Random) -> None:
        self._network = network
        self._rng = rng
        self._pools: dict[str, list[BackendPool]] = defaultdict(list)

    def add_target(self, service: str, address: str) -> None:
        """Add ``address`` to the targets of ``service``."""
        self._pools[service].append(
            BackendPool(
                connect=self._network.connect,
                address=address,
                max_connections=_MAX_CONNECTIONS,
            )
        )

    async def call(self, request: Request, timeout_ms: float) -> Outcome:
        """Send ``request`` up to ``1 + RETRIES`` times within ``timeout_ms``.

        Returns the first response below status 500, or else the last outcome.
        """
        service = request.target.decode().split("/")[1]
        outcome: Outcome = ExchangeFailed(False, "timeout")
        with trio.move_on_after(timeout_ms / 1_000):
            for attempt in range(1 + RETRIES):
                await trio.sleep(attempt * _BACKOFF_S * self._rng.random())
                outcome = await self._rng.choice(self._pools[service]).request(
                    request,
                    timeout_ms=ATTEMPT_TIMEOUT_MS,
                    max_body_bytes=_MAX_ANSWER_BYTES,
                )
                if isinstance(outcome, Response) and outcome.status < 500:
                    return outcome
        return outcome


async def start_without_layer(
    nursery: trio.Nursery, network: Network, rng: random.Random
) -> Send:
    """Start the backend servers; return a function that sends a request as a caller."""
    calls = DirectCalls(network=network, rng=rng)
    for options in BACKENDS:
        for number in range(TARGETS_PER_SERVICE):
            backend = await start_backend(nursery, network, options, number, calls.call)
            calls.add_target(options.service, backend.address)

    async def send(route: DemoRoute) -> bool:
        request = Request(
            route.method.encode(), route.path.encode(), ((b"host", b"demo"),)
        )
        outcome = await calls.call(request, DEADLINE_MS)
        return isinstance(outcome, Response) and outcome.status == 200

    return send
