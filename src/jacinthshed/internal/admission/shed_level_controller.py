"""Computes the shed level of a target from its arrivals and its capacity.

The level is not derived from the queue length at one moment: it would then oscillate
between "all" and "nothing" with each round trip. It is set once per window so that the
part of the demand below it just fills the slots and a part of the queue.
"""

from typing import NamedTuple

from .shed_level import NOTHING_SHED, ShedLevel
from .work import ROOT_HASH_SPAN, WorkSortKey

WINDOW_MS = 50.0
# Extension of a window in which fewer than ``MIN_FINISHED`` calls ended.
EXTRA_WINDOW_MS = 150.0
MIN_FINISHED = 2
MAX_ARRIVALS = 1_024
# Maximum steps of re-admission per window while the demand is at most half of what can
# be served: as a factor, and in hashes.
GROWTH_FACTOR = 2.0
GROWTH_HASHES = ROOT_HASH_SPAN // 4
# The same while the demand is above half. Root requests reach a service deep in the
# call graph some windows after they were admitted: larger steps would admit too many
# before the first of them arrives.
BUSY_GROWTH_FACTOR = 1.15
BUSY_GROWTH_HASHES = ROOT_HASH_SPAN // 16
MIN_GROWTH_HASHES = ROOT_HASH_SPAN // 100
# Ranks without an arrival for this time are skipped on re-admission.
RANK_TTL_MS = 30_000.0


class QueueState(NamedTuple):
    """The state of the slots and the queue that the level depends on.

    ``free`` is the number of entries that would still fit into the slots and the part
    of the queue that is meant to be used; it is negative when that part is exceeded.
    ``middle`` is the entry at half the usable capacity of the queue, and ``last`` the
    entry that would be shed first. Each is None when there is no such entry.
    """

    free: int
    middle: WorkSortKey | None
    last: WorkSortKey | None


class ShedLevelController:
    """The shed level of one target, updated once per window."""

    def __init__(self) -> None:
        self.level = NOTHING_SHED
        self._arrivals: list[tuple[int, int]] = []
        self._finished = 0
        self._has_shed = False
        self._window_ends_at_ms: float | None = None
        self._rank_seen_ms: dict[int, float] = {}

    def record_arrival(self, now_ms: float, rank: int, root_hash: int) -> None:
        """Record an attempt that requested a slot."""
        self._rank_seen_ms[rank] = now_ms
        if len(self._arrivals) < MAX_ARRIVALS:
            self._arrivals.append((rank, root_hash))

    def record_finish(self) -> None:
        """Record that a slot became free."""
        self._finished += 1

    def record_shed(self) -> None:
        """Record that work was refused for load in this window."""
        self._has_shed = True

    def is_due(self, now_ms: float) -> bool:
        """Return whether the window may be over and ``update`` has to be called."""
        return self._window_ends_at_ms is None or now_ms >= self._window_ends_at_ms

    def update(self, now_ms: float, queue: QueueState) -> None:
        """Set the level and start the next window, if this one is over."""
        if self._window_ends_at_ms is None:
            self._window_ends_at_ms = now_ms + WINDOW_MS
        if not self._is_over(now_ms, has_room=queue.free > 0):
            return
        if self._has_shed or queue.free < 0 or self.level != NOTHING_SHED:
            self._adjust(now_ms, queue)
        self._arrivals.clear()
        self._finished = 0
        self._has_shed = False
        self._window_ends_at_ms = now_ms + WINDOW_MS

    def _is_over(self, now_ms: float, *, has_room: bool) -> bool:
        """Return whether the window is over.

        It is extended while too few calls have ended: with slow calls hardly any end in
        a short window, and the level would then shed the most important work. With free
        capacity the window isn't extended, as the level may then be loosened.
        """
        assert self._window_ends_at_ms is not None
        if self._finished < MIN_FINISHED and not has_room:
            return now_ms >= self._window_ends_at_ms + EXTRA_WINDOW_MS
        return now_ms >= self._window_ends_at_ms

    def _adjust(self, now_ms: float, queue: QueueState) -> None:
        admissible = max(0, self._finished + queue.free)
        if len(self._arrivals) > admissible:
            self._arrivals.sort()
            self._tighten(ShedLevel(*self._arrivals[admissible]), queue)
        elif not self._has_shed:
            self.level = self._loosened(now_ms, admissible)
        if queue.middle is not None:
            # Work of this order would be queued in the first half: it is not shed.
            middle = ShedLevel(queue.middle.rank, queue.middle.root_hash)
            self.level = max(self.level, middle)

    def _tighten(self, level: ShedLevel, queue: QueueState) -> None:
        # Work that sorts before the last entry is accepted at present. A window in
        # which no call ended, or a limit that was just lowered, must not shed it.
        if queue.last is not None:
            last = ShedLevel(queue.last.rank, queue.last.root_hash)
            self.level = min(self.level, max(level, last))

    def _loosened(self, now_ms: float, admissible: int) -> ShedLevel:
        """Return the next level on re-admission, with room for ``admissible`` arrivals.

        A rank is re-admitted over several windows, so that the demand that was shed
        does not arrive at once. Ranks without recent arrivals are skipped.
        """
        rank, root_hash = self.level
        spare = admissible - len(self._arrivals)
        is_busy = spare < len(self._arrivals)
        factor = BUSY_GROWTH_FACTOR if is_busy else GROWTH_FACTOR
        step = BUSY_GROWTH_HASHES if is_busy else GROWTH_HASHES
        rank_arrivals = sum(arrival[0] == rank for arrival in self._arrivals)
        max_hash = max(root_hash * factor, root_hash + step)
        new_hash = (
            root_hash * (1 + spare / rank_arrivals) if rank_arrivals else max_hash
        )
        new_hash = min(max_hash, max(new_hash, root_hash + MIN_GROWTH_HASHES))
        if new_hash < ROOT_HASH_SPAN:
            return ShedLevel(rank, int(new_hash))
        oldest_ms = now_ms - RANK_TTL_MS
        recent_ranks = [
            r for r, at_ms in self._rank_seen_ms.items() if at_ms > oldest_ms
        ]
        later_ranks = [r for r in recent_ranks if r > rank]
        return ShedLevel(min(later_ranks), step) if later_ranks else NOTHING_SHED
