"""Rendezvous hashing of keys to hosts."""

from collections.abc import Iterable

import xxhash


def score(key: str, host: str) -> int:
    """Return the 64-bit score of ``host`` for ``key``; the lowest is preferred."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\x00{host}".encode()))


def preference_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` in the order of preference for ``key``.

    When a host joins or leaves, the order of the others is unchanged. A resend through
    another node, which may list other hosts, is therefore likely to reach the same
    first choice without trying others.
    """
    return sorted(hosts, key=lambda host: (score(key, host), host))
