"""Which mechanisms are in place in a run."""

from typing import NamedTuple


class Stack(NamedTuple):
    """Switches of one run; the defaults are the whole layer.

    ``hop_retries`` is how often each hop retries by itself, where no allowance bounds
    it. ``queue_factor`` is the length of the queue as a share of the slots; 0 stands
    for an unbounded one.
    """

    name: str
    admission: bool = True
    invested: bool = True
    root_hash: bool = True
    levels: bool = True
    allowance: bool = True
    adaptive: bool = True
    queue_deadlines: bool = True
    hop_retries: int = 0
    queue_factor: float = 1.0


FULL = Stack("jacinthshed")
NO_LAYER = Stack(
    "no layer",
    admission=False,
    levels=False,
    allowance=False,
    hop_retries=3,
    queue_factor=0.0,
)
FIXED_LIMITS = NO_LAYER._replace(name="fixed limits", queue_factor=1.0)

BASELINES = (NO_LAYER, FIXED_LIMITS)

STACKS = (
    FULL,
    *BASELINES,
    FULL._replace(name="no invested order", invested=False),
    FULL._replace(name="no root hash", root_hash=False),
    FULL._replace(name="no levels", levels=False),
    FULL._replace(name="no allowance", allowance=False, hop_retries=3),
    FULL._replace(name="no adaptive limit", adaptive=False),
    FULL._replace(name="no queue deadlines", queue_deadlines=False),
)
