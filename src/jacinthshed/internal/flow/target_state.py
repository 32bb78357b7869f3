"""The state that a target's decisions are made on."""

from typing import NamedTuple

from ..admission.admission import Admission
from ..fence.registry import FenceRegistry
from ..quarantine.suspects import Suspects
from ..retry.allowance import AllowanceLedger
from .arrival_check import ArrivalCheck
from .context import ContextRegistry
from .nested_time import NestedTime


class TargetState(NamedTuple):
    """Load, fences, suspicions and the requests that run at one target.

    The node's egress reads and writes the ledger, contexts and nested time of the
    requests that run here.
    """

    admission: Admission
    fence_registry: FenceRegistry
    suspects: Suspects
    ledger: AllowanceLedger
    contexts: ContextRegistry
    nested: NestedTime
    check: ArrivalCheck
