"""Fingerprints, by which repeats of a request that crashes servers are recognised."""

import xxhash

_SEPARATOR = b"\0"


def fingerprint(*, route: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return a 64-bit hash that is equal for equal requests of one route.

    Headers are not included: a resend often carries different ones.
    """
    digest = xxhash.xxh3_64()
    for part in (route.encode(), method, target):
        digest.update(part)
        digest.update(_SEPARATOR)
    digest.update(body)
    return digest.intdigest()
