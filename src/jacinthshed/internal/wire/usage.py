"""Frames that count the use of workspaces with a limit.

Each node reports to the home of a workspace, which is one of the live nodes. The home
tells those that have reported which share of the requests they may admit.
"""

from typing import NamedTuple

ALL_PERMILLE = 1_000
# Sent by a home that has not yet counted a workspace for as long as it measures.
DEMAND_UNKNOWN = -1


class UsageReport(NamedTuple):
    """Use since the last report of this node.

    Each entry is a workspace, the requests that were admitted, and those that were
    wanted, admitted or not.
    """

    entries: tuple[tuple[str, int, int], ...]


class UsageShare(NamedTuple):
    """What the home of workspaces tells other nodes.

    Each entry is a workspace, the share of its requests that may be admitted now, and
    its demand as a part of its rate, or ``DEMAND_UNKNOWN``. Both are in thousandths.
    The demand is what was wanted, admitted or not, and may exceed the rate.
    """

    entries: tuple[tuple[str, int, int], ...]
