"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def score(key: str, host: str) -> int:
    """Return the rank of ``host`` for ``key``; the lowest is the first choice."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\x00{host}".encode()))


def preference_order(key: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` in the order in which ``key`` prefers them.

    When a host joins or leaves, the order of the others stays as it was, so a resend
    that comes through another node finds the first choice soonest.
    """
    return sorted(hosts, key=lambda host: (score(key, host), host))
