"""Decides who may hold how many bytes of a node's memory.

Load pattern: clients that the operators don't control send many large bodies at once
and never finish them, or ask for long answers and don't read them. Each of them is
inside the limit of one request, and their sum would exceed the memory of the host.
"""

from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from math import inf

# Holdings up to this size draw on the reserve as well, so that large bodies never keep
# an ordinary request from being read.
SMALL_BYTES = 65_536
# Share of the budget that only small holdings may use.
RESERVE_SHARE = 0.125
# A holding without progress for this time is evicted before those that make progress.
STALLED_MS = 1_000.0
# A body of 64 MiB, the largest that operators allow, fits beside the reserve.
DEFAULT_BUDGET_BYTES = 77_000_000


class Kind(StrEnum):
    """What a holding contains."""

    CONNECTION = "connection"
    REQUEST = "request"
    ANSWER = "answer"


Evict = Callable[[], None]


class Holding:
    """Bytes that one owner holds, of one ``kind``.

    ``evict`` makes the owner give them up soon; without it, the holding stays until it
    is closed. ``progress_ms`` is when bytes last came or went.
    """

    __slots__ = ("evict", "is_evicted", "kind", "progress_ms", "size_bytes")

    def __init__(self, *, kind: Kind, evict: Evict | None) -> None:
        self.kind = kind
        self.evict = evict
        self.size_bytes = 0
        self.progress_ms = -inf
        self.is_evicted = False


class MemoryAccount:
    """The bytes in hand of one node, against ``budget_bytes``.

    Bytes are charged before they are received. When there is no room, holdings that
    have been promised nothing are evicted, first those that stall, then the largest.
    ``now_ms`` returns monotonic milliseconds. ``on_evicted`` gets each holding that is
    evicted, ``on_refused`` the kind and the size of each that finds no room.
    """

    def __init__(
        self,
        *,
        now_ms: Callable[[], float],
        budget_bytes: int = DEFAULT_BUDGET_BYTES,
        on_evicted: Callable[[Holding], None] = lambda holding: None,
        on_refused: Callable[[Kind, int], None] = lambda kind, size_bytes: None,
    ) -> None:
        self.budget_bytes = budget_bytes
        self.used_bytes = 0
        self.evictions = 0
        self.refusals = 0
        # Bytes of evicted holdings, which their owners have not freed yet.
        self._leaving_bytes = 0
        self._now_ms = now_ms
        self._on_evicted = on_evicted
        self._on_refused = on_refused
        # Called when an answer begins to wait.
        self.on_waiting: Callable[[], None] = lambda: None
        self._holdings: set[Holding] = set()
        self._waiting: deque[tuple[Holding, int, Callable[[], None]]] = deque()

    @property
    def largest_bytes(self) -> int:
        """The largest holding that can find room."""
        return int(self.budget_bytes * (1 - RESERVE_SHARE))

    @property
    def has_waiting(self) -> bool:
        """Whether an answer waits for room."""
        return bool(self._waiting)

    def used_by_kind(self) -> Counter[Kind]:
        """Return the bytes in hand of each kind."""
        used = Counter(dict.fromkeys(Kind, 0))
        for holding in self._holdings:
            used[holding.kind] += holding.size_bytes
        return used

    def open(self, kind: Kind, evict: Evict | None = None) -> Holding:
        """Return a new holding without any bytes."""
        holding = Holding(kind=kind, evict=evict)
        self._holdings.add(holding)
        return holding

    def resize(self, holding: Holding, size_bytes: int) -> bool:
        """Set the size of ``holding``; return false if there is no room for it.

        Its size is then unchanged, and the owner has to give it up.
        """
        if holding.is_evicted or holding not in self._holdings:
            return False
        now_ms = self._now_ms()
        growth_bytes = size_bytes - holding.size_bytes
        # What was evicted is freed within a few steps. Only a part of it is given away
        # before that, so that a burst doesn't exceed the budget by much.
        advance_bytes = self.budget_bytes - self.largest_bytes
        has_room = growth_bytes <= 0 or self._make_room(
            now_ms, holding, size_bytes, advance_bytes
        )
        if not has_room:
            self.refusals += 1
            self._on_refused(holding.kind, size_bytes)
            return False
        self._set_size(holding, size_bytes)
        holding.progress_ms = now_ms
        if growth_bytes < 0:
            self.grant_waiting()
        return True

    def resize_later(
        self, holding: Holding, size_bytes: int, on_granted: Callable[[], None]
    ) -> None:
        """Set the size of ``holding`` as soon as there is room, in the order of calls.

        For answers, which wait where they are. What was promised nothing yet, and what
        stalls, is evicted for them. ``size_bytes`` may be at most ``largest_bytes``.
        """
        if size_bytes <= SMALL_BYTES and self._excess_bytes(holding, size_bytes) <= 0:
            self._grant(holding, size_bytes)
            on_granted()
            return
        self._waiting.append((holding, size_bytes, on_granted))
        self.grant_waiting()
        if self._waiting:
            self.on_waiting()

    def grant_waiting(self) -> None:
        """Let those who wait for room have it, in turn; call it at intervals.

        Holdings that began to stall since then are evicted for them.
        """
        while self._waiting:
            holding, size_bytes, on_granted = self._waiting[0]
            if holding in self._holdings:
                if not self._make_room(self._now_ms(), holding, size_bytes, 0):
                    return
                self._grant(holding, size_bytes)
            self._waiting.popleft()
            on_granted()

    def touch(self, holding: Holding) -> None:
        """Record that bytes came or went."""
        holding.progress_ms = self._now_ms()

    def close(self, holding: Holding) -> None:
        """Release the bytes of ``holding``; it can't be used afterwards."""
        if holding not in self._holdings:
            return
        self._holdings.discard(holding)
        self.used_bytes -= holding.size_bytes
        if holding.is_evicted:
            self._leaving_bytes -= holding.size_bytes
        self.grant_waiting()

    def evict_oldest(self, kind: Kind) -> bool:
        """Evict the holding of ``kind`` that is longest without progress, if any."""
        found = [h for h in self._holdings if h.kind is kind and h.evict is not None]
        if not found:
            return False
        self._evict(min(found, key=lambda holding: holding.progress_ms))
        return True

    def _set_size(self, holding: Holding, size_bytes: int) -> None:
        self.used_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes

    def _limit_bytes(self, size_bytes: int) -> int:
        return self.budget_bytes if size_bytes <= SMALL_BYTES else self.largest_bytes

    def _excess_bytes(self, holding: Holding, size_bytes: int) -> int:
        """Return by how much ``holding`` would exceed its limit with ``size_bytes``."""
        used_bytes = self.used_bytes - holding.size_bytes + size_bytes
        return used_bytes - self._limit_bytes(size_bytes)

    def _make_room(
        self, now_ms: float, holding: Holding, size_bytes: int, advance_bytes: int
    ) -> bool:
        """Evict others until ``holding`` fits; return whether it fits now.

        Of what its owners have yet to free, ``advance_bytes`` count as free.
        """
        while self._excess_bytes(holding, size_bytes) > self._leaving_bytes:
            victims = [
                other
                for other in self._holdings
                if other is not holding
                and _gives_way(now_ms, other, holding, size_bytes)
            ]
            if not victims:
                return False
            victim = max(victims, key=lambda h: (_is_stalled(now_ms, h), h.size_bytes))
            self._evict(victim)
        free_bytes = min(self._leaving_bytes, advance_bytes)
        return self._excess_bytes(holding, size_bytes) <= free_bytes

    def _evict(self, victim: Holding) -> None:
        evict = victim.evict
        victim.evict = None
        self.evictions += 1
        self._on_evicted(victim)
        victim.is_evicted = True
        self._leaving_bytes += victim.size_bytes
        if evict is not None:
            evict()

    def _grant(self, holding: Holding, size_bytes: int) -> None:
        self._set_size(holding, size_bytes)
        holding.progress_ms = self._now_ms()


def _is_stalled(now_ms: float, holding: Holding) -> bool:
    return now_ms - holding.progress_ms >= STALLED_MS


def _gives_way(
    now_ms: float, victim: Holding, holding: Holding, size_bytes: int
) -> bool:
    """Return whether ``victim`` is given up so that ``holding`` gets ``size_bytes``."""
    if victim.evict is None or not victim.size_bytes:
        return False
    if victim.size_bytes <= SMALL_BYTES and size_bytes > SMALL_BYTES:
        # Connections of ordinary callers are not closed for a large body.
        return False
    if _is_stalled(now_ms, victim):
        return True
    if victim.kind is Kind.ANSWER:
        # Its request has run, and its caller is reading.
        return False
    return holding.kind is Kind.ANSWER or victim.size_bytes > size_bytes
