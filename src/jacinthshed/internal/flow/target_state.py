"""State that a target bases its decisions on."""

from typing import NamedTuple

from ..admission.admission import Admission
from ..fence.registry import FenceRegistry
from ..quarantine.suspects import Suspects
from ..retry.allowance import AllowanceLedger
from .arrival_check import ArrivalCheck
from .context import ContextRegistry
from .nested_time import NestedTime


class TargetState(NamedTuple):
    """Admission, fences, crash suspects and running requests of one target.

    The node's egress reads and updates the ledger, contexts and nested time of the
    requests that run at the target.
    """

    admission: Admission
    fence_registry: FenceRegistry
    suspects: Suspects
    ledger: AllowanceLedger
    contexts: ContextRegistry
    nested: NestedTime
    check: ArrivalCheck
