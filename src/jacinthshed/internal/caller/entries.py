"""Chooses the order in which a caller tries entry nodes."""

import random
from collections.abc import Sequence

_AVOID_S = 5.0


class Entries:
    """The addresses of the entry nodes, and which of them failed recently."""

    def __init__(self, *, addresses: Sequence[str], rng: random.Random) -> None:
        if not addresses:
            raise ValueError(
                "entries is empty: pass the address of at least one entry node"
            )
        self._addresses = tuple(addresses)
        self._rng = rng
        self._avoided_until_s: dict[str, float] = {}

    def order(self, now_s: float) -> list[str]:
        """Return all addresses in random order, those that failed recently last."""
        shuffled = self._rng.sample(self._addresses, len(self._addresses))
        return sorted(shuffled, key=lambda a: self._avoided_until_s.get(a, 0) > now_s)

    def note_failure(self, address: str, now_s: float) -> None:
        """Move ``address`` to the end of the order for some seconds."""
        self._avoided_until_s[address] = now_s + _AVOID_S
