"""What the admission decisions need to know of one attempt."""

from typing import NamedTuple

import xxhash

ROOT_HASH_SPAN = 1 << 32


class Work(NamedTuple):
    """One attempt that asks for a slot at this target.

    ``ticket`` is unique at this target. ``rank`` is 1 for the most important work.
    ``invested`` counts the calls of the same root that are already done.
    ``root_hash`` is in ``[0, ROOT_HASH_SPAN)`` and equal at every layer for one root.
    ``deadline_at_ms`` is a monotonic time of this host, in milliseconds.
    """

    ticket: int
    rank: int
    invested: int
    root_hash: int
    deadline_at_ms: float


class WorkOrder(NamedTuple):
    """Sort key of work: the smallest is started first, the largest is shed first.

    The root's hash and not the time of arrival decides between equals: every layer
    then sheds the same roots, so that little work is spent on requests which another
    layer refuses.
    """

    rank: int
    minus_invested: int
    root_hash: int
    ticket: int


def order_of(work: Work) -> WorkOrder:
    """Return the sort key of ``work``."""
    return WorkOrder(work.rank, -work.invested, work.root_hash, work.ticket)


def hash_of_root(root_id: str) -> int:
    """Return the hash that orders the requests of one root alike at every layer."""
    return xxhash.xxh3_64_intdigest(root_id.encode()) % ROOT_HASH_SPAN
