"""The properties of an attempt that admission decisions depend on."""

from typing import NamedTuple

import xxhash

ROOT_HASH_SPAN = 1 << 32


class Work(NamedTuple):
    """One attempt that requests a slot at this target.

    ``ticket`` is unique at this target. ``rank`` is 1 for the most important work.
    ``invested`` is the number of calls that the same root request has already
    completed. ``root_hash`` is in ``[0, ROOT_HASH_SPAN)`` and the same for all calls of
    one root request, at every service. ``deadline_at_ms`` is a monotonic time of this
    host in milliseconds.
    """

    ticket: int
    rank: int
    invested: int
    root_hash: int
    deadline_at_ms: float


class WorkSortKey(NamedTuple):
    """Sort key of work: the smallest is started first, the largest is shed first.

    Between entries of equal ``rank`` and ``invested`` the root's hash decides, and not
    the time of arrival. Every service then sheds the same root requests, so that little
    work is spent on requests that another service refuses.
    """

    rank: int
    negated_invested: int
    root_hash: int
    ticket: int


def sort_key(work: Work) -> WorkSortKey:
    """Return the sort key of ``work``."""
    return WorkSortKey(work.rank, -work.invested, work.root_hash, work.ticket)


def hash_of_root(root_id: str) -> int:
    """Return the hash of a root request's id, in ``[0, ROOT_HASH_SPAN)``.

    It doesn't depend on the node, so that every service orders roots in the same way.
    """
    return xxhash.xxh3_64_intdigest(root_id.encode()) % ROOT_HASH_SPAN
