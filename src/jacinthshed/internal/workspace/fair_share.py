"""Orders the requests of workspaces so that each gets its share of scarce capacity.

Load pattern: one workspace sends ten times its usual load at a moment at which the
targets can't serve everybody. Targets shed root requests by their hash, so that all
workspaces lost the same part of their requests, also those that sent as usual.

The hash of a root request is multiplied by the used part of the rate of its workspace.
A target that sheds the hashes from ``a * ROOT_HASH_SPAN`` on then serves each workspace
the smaller of its demand and ``a`` times its rate: max-min fairness, weighted by rate.
"""

from ..admission.work import ROOT_HASH_SPAN
from ..wire.usage import ALL_PERMILLE

# With a factor of 0, all hashes of a workspace would be equal, and its resends, which
# are spread by the hash, would arrive together.
MIN_USE_PERMILLE = 1
MAX_USE_PERMILLE = 1_000 * ALL_PERMILLE
# Above this hash, a workspace over its rate keeps the order of its requests, so that
# its excess is not all sent or all refused, in the same way.
EXCESS_HASH = ROOT_HASH_SPAN - ROOT_HASH_SPAN // 8


def part_of_rate_permille(per_s: float, rate_per_s: float) -> int:
    """Return ``per_s`` as a part of a rate, which it may exceed, in thousandths."""
    return int(min(MAX_USE_PERMILLE, ALL_PERMILLE * per_s / rate_per_s))


def scaled_hash(root_hash: int, use_permille: int) -> int:
    """Return ``root_hash`` for a workspace that uses as much of its rate.

    Any value of ``use_permille`` gives a valid hash, as peers send it. What a workspace
    sends above its rate gets the highest hashes, in the order of their size.
    """
    factor = min(MAX_USE_PERMILLE, max(MIN_USE_PERMILLE, use_permille))
    scaled = root_hash * factor // ALL_PERMILLE
    if factor <= ALL_PERMILLE or scaled <= EXCESS_HASH:
        return scaled
    excess, room = scaled - EXCESS_HASH, ROOT_HASH_SPAN - EXCESS_HASH
    return EXCESS_HASH + room * excess // (excess + room)


def whole_use(workspace: str) -> int:
    """Return the use of a workspace of which nothing is known."""
    return ALL_PERMILLE
