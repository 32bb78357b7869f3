"""What makes two requests the same request when servers die of it."""

import xxhash

_SEPARATOR = b"\0"


def fingerprint(*, route: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return 64 bits that are equal for equal requests of one route.

    Headers are left out: a resend often carries other ones.
    """
    digest = xxhash.xxh3_64()
    for part in (route.encode(), method, target):
        digest.update(part)
        digest.update(_SEPARATOR)
    digest.update(body)
    return digest.intdigest()
