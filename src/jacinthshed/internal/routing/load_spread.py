"""How evenly the targets of each service are loaded, as one node knows them."""

from collections.abc import Sequence
from itertools import chain

from .expected_load import AGING_MS
from .picker import Picker, Pools
from .preview import believed_loads
from .target import LOAD_TTL_MS, Target

# With an older report, the estimate is nearly the mean of the pool: less than a
# hundredth of the difference to it is left.
ESTIMATE_TTL_MS = 5 * AGING_MS
# Loads that are all the same.
EVEN = 1.0
# The store may list targets of any number of services, and each has its own series.
MAX_SERVICES = 100


def load_spread(loads: Sequence[float]) -> float:
    """Return the highest load divided by the mean.

    It is ``EVEN`` if all loads are 0, and for fewer than two targets.
    """
    total = sum(loads)
    if len(loads) < 2 or total <= 0:
        return EVEN
    return max(loads) * len(loads) / total


def known_loads(picker: Picker, now_ms: float, service: str) -> list[float]:
    """Return the loads that a choice would be based on now, without assumed ones.

    A target without a recent report counts as half or evenly loaded in the choice.
    Beside targets with little load it would look like the busiest one.
    """
    pools = picker.pools_of(service)
    if pools is None:
        return []
    by_room = picker.uses_expected_room(service)
    loads = believed_loads(pools, now_ms, by_room)
    return [
        load for target, load in loads.items() if _is_known(target, now_ms, by_room)
    ]


def load_spreads(picker: Picker, now_ms: float) -> dict[str, float]:
    """Return the load spread of each service that has targets now.

    It reads the picker's state and changes nothing. Of more than ``MAX_SERVICES``
    services, it covers the first ones by name.
    """
    # Entry-only nodes are members of a service without a name.
    services = sorted(name for name in picker.services() if name)
    named = [name for name in services if _has_targets(picker.pools_of(name))]
    return {
        name: load_spread(known_loads(picker, now_ms, name))
        for name in named[:MAX_SERVICES]
    }


def _has_targets(pools: Pools | None) -> bool:
    return any(chain.from_iterable(pool.targets for pool in pools or ()))


def _is_known(target: Target, now_ms: float, by_room: bool) -> bool:
    # Loads of avoided targets aren't estimated.
    is_estimated = by_room and target.avoid_until_ms <= now_ms
    ttl_ms = ESTIMATE_TTL_MS if is_estimated else LOAD_TTL_MS
    return now_ms - target.load_at_ms < ttl_ms
