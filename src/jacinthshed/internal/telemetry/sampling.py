"""Chooses the requests whose decisions are logged."""

import xxhash

_BUCKETS = 1 << 32


def is_sampled(request_id: str, share: float) -> bool:
    """Return whether ``request_id`` is in the sampled ``share`` (0.0 to 1.0).

    The result is the same on every host, so that the logs of a sampled request cover
    its whole path.
    """
    if share >= 1.0:
        return True
    return xxhash.xxh32_intdigest(request_id.encode()) < share * _BUCKETS
