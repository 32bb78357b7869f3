"""The mechanisms that are switched on in a run."""

from typing import NamedTuple


class Stack(NamedTuple):
    """Switches of one run; the defaults are the whole of jacinthshed.

    Without ``admission`` targets have a FIFO queue. ``invested`` orders admission by
    the calls already made for a root, ``root_hash`` by the hash of the root. ``levels``
    lets nodes refuse calls that all targets would shed. ``allowance`` limits retries
    and resends. ``adaptive`` lets the concurrency limit fall below the slots.
    ``queue_deadlines`` lets waiting calls expire at their deadline.

    ``hop_retries`` is the number of retries of each hop without ``allowance``.
    ``queue_factor`` is the length of the queue over the slots; 0 makes it unbounded.
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
