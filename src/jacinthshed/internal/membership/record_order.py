"""The total order of the records about one host."""

import msgpack
import xxhash

from ..wire.frames import MemberRecord

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"

_STATE_RANKS = {LIVE: 0, LEAVING: 1, GONE: 2}

OrderKey = tuple[int, int, int, str, str, str, int]


def order_key(record: MemberRecord) -> OrderKey:
    """Return a key that compares records of one host.

    The incarnation comes first, then the state, then the revision. The state precedes
    the revision so that a delayed "live" doesn't undo a "leaving" of the same
    incarnation. The remaining fields only break ties: without them, two different
    records could compare equal and two views could differ forever.
    """
    return (
        record.incarnation,
        _STATE_RANKS[record.state],
        record.revision,
        record.service,
        record.availability_zone,
        record.peer_address,
        record.started_ms,
    )


def is_well_formed(record: MemberRecord) -> bool:
    """Return whether ``record`` has a known state and a host, so it can be ordered."""
    return record.state in _STATE_RANKS and bool(record.host)


def record_hash(record: MemberRecord) -> int:
    """Return the 64-bit hash of ``record`` that goes into the digest of a view."""
    return int(xxhash.xxh3_64_intdigest(msgpack.packb(tuple(record))))
