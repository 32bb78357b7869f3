"""``jacinthshed demo``: a surge with and without the layer, in one process."""

import functools
import sys
from typing import Annotated

import msgspec
import trio
from cyclopts import Parameter

from ..demo.run import run_demo
from ..demo.table import figures_table
from ..telemetry.log import configure_logging
from .exit_codes import EXIT_DONE


def demo(
    *,
    seed: int = 1,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> int:
    """Run a small deployment on loopback through a surge, without and with the layer.

    Example: ``jacinthshed demo``

    :param seed: Seed of the arrivals and of all random choices.
    :param as_json: Print the figures as one JSON object, and progress to stderr.
    """
    configure_logging(level="error")
    stream = sys.stderr if as_json else sys.stdout
    print_line = functools.partial(print, file=stream, flush=True)
    plain, layered = trio.run(
        functools.partial(run_demo, seed=seed, print_line=print_line)
    )
    if as_json:
        document = {"without": plain, "with": layered}
        print(msgspec.json.encode(document).decode())
    else:
        print("\n" + figures_table(plain, layered))
    return EXIT_DONE
