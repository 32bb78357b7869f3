"""Runs the demonstration."""

import random
from collections.abc import Awaitable, Callable

import trio

from ..http.network import Network, tcp_network
from .figures import RunFigures, run_figures
from .load import Load, Progress, Send
from .scenario import PHASES, ROUTES
from .with_layer import start_with_layer
from .without_layer import start_without_layer

StartDeployment = Callable[[trio.Nursery, Network, random.Random], Awaitable[Send]]
PrintLine = Callable[[str], None]


async def run_demo(
    *, seed: int, print_line: PrintLine
) -> tuple[RunFigures, RunFigures]:
    """Run the scenario without and with the layer; return the figures of both."""
    print_line(
        "Three services in a row, two targets each; the last can serve 50 a second."
    )
    without_layer = await _run_scenario(
        "without the layer", start_without_layer, seed, print_line
    )
    with_layer = await _run_scenario(
        "with the layer", start_with_layer, seed, print_line
    )
    return without_layer, with_layer


async def _run_scenario(
    name: str, start: StartDeployment, seed: int, print_line: PrintLine
) -> RunFigures:
    # The same seed gives both runs the same arrivals.
    arrivals = random.Random(seed)

    def report(progress: Progress) -> None:
        print_line(
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
