"""Runs the demonstration."""

import random
from collections.abc import Awaitable, Callable

import trio

from ..http.network import Network, tcp_network
from .figures import RunFigures, run_figures
from .layered import start_layered
from .load import Load, Progress, Send
from .plain import start_plain
from .scenario import PHASES, ROUTES

Start = Callable[[trio.Nursery, Network, random.Random], Awaitable[Send]]
Print = Callable[[str], None]


async def run_demo(*, seed: int, show: Print) -> tuple[RunFigures, RunFigures]:
    """Play the surge without and with the layer; return the figures of both."""
    show("Three services in a row, two targets each; the last can serve 50 a second.")
    plain = await _play("without the layer", start_plain, seed, show)
    layered = await _play("with the layer", start_layered, seed, show)
    return plain, layered


async def _play(name: str, start: Start, seed: int, show: Print) -> RunFigures:
    # Both runs get the same arrivals.
    arrivals = random.Random(seed)

    def report(progress: Progress) -> None:
        show(
            f"{name:<18}{progress.at_s:5.0f} s  {progress.phase:<6}"
            f"{progress.sent:5d} sent{progress.answered:5d} answered"
        )

    async with trio.open_nursery() as nursery:
        send = await start(nursery, tcp_network(), random.Random(seed + 1))
        load = Load(
            phases=PHASES, routes=ROUTES, send=send, rng=arrivals, report=report
        )
        samples = await load.run()
        nursery.cancel_scope.cancel()
    return run_figures(samples, PHASES)
