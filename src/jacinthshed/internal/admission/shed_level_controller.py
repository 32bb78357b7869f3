"""Chooses the shed level of a target from what arrives and what can be served.

The level is not read off the queue at one moment: that would swing between "all" and
"nothing" with each round trip. It is set once a window so that the part of the demand
below it just fills the slots and a part of the queue.
"""

from typing import NamedTuple

from .shed_level import NOTHING_SHED, ShedLevel
from .work import ROOT_HASH_SPAN, WorkOrder

WINDOW_MS = 50.0
EXTRA_WINDOW_MS = 150.0
MIN_FINISHED = 2
MAX_ARRIVALS = 1_024
# Steps of re-admission in a window, where demand is below half of what can be served...
GROWTH_FACTOR = 2.0
GROWTH_SPAN = ROOT_HASH_SPAN // 4
# ... and where it is near that. Roots call a deep service some windows after they were
# let in: larger steps would let in too many before the first of them is seen.
BUSY_GROWTH_FACTOR = 1.15
BUSY_GROWTH_SPAN = ROOT_HASH_SPAN // 16
MIN_GROWTH_SPAN = ROOT_HASH_SPAN // 100
RANK_TTL_MS = 30_000.0


class QueueState(NamedTuple):
    """What the level depends on besides arrivals and ends.

    ``free`` is how many more entries fill the slots and the part of the queue that is
    meant to be used; it is negative when more are there. ``middle`` is the entry in the
    middle of the queue's places, ``last`` the one that would be shed first; they are
    None where nothing waits.
    """

    free: int
    middle: WorkOrder | None
    last: WorkOrder | None


class ShedLevelController:
    """The shed level of one target, renewed once a window."""

    def __init__(self) -> None:
        self.level = NOTHING_SHED
        self._arrivals: list[tuple[int, int]] = []
        self._finished = 0
        self._shed = False
        self._window_ends_ms: float | None = None
        self._rank_seen_ms: dict[int, float] = {}

    def note_arrival(self, now_ms: float, rank: int, root_hash: int) -> None:
        """Count an attempt that asked for a slot."""
        self._rank_seen_ms[rank] = now_ms
        if len(self._arrivals) < MAX_ARRIVALS:
            self._arrivals.append((rank, root_hash))

    def note_finished(self) -> None:
        """Count a slot that became free."""
        self._finished += 1

    def note_shed(self) -> None:
        """Remember that work was refused for load in this window."""
        self._shed = True

    def is_due(self, now_ms: float) -> bool:
        """Return whether ``renew`` may have something to do."""
        return self._window_ends_ms is None or now_ms >= self._window_ends_ms

    def renew(self, now_ms: float, queue: QueueState) -> None:
        """Close the window, if it is over."""
        if self._window_ends_ms is None:
            self._window_ends_ms = now_ms + WINDOW_MS
        if not self._is_over(now_ms, has_room=queue.free > 0):
            return
        if self._shed or queue.free < 0 or self.level != NOTHING_SHED:
            self._move(now_ms, queue)
        self._arrivals.clear()
        self._finished = 0
        self._shed = False
        self._window_ends_ms = now_ms + WINDOW_MS

    def _is_over(self, now_ms: float, *, has_room: bool) -> bool:
        """Whether the window tells enough.

        With slow calls hardly any end in a short window, and the level would close
        on the most important work. Where there is room it may open in any case.
        """
        assert self._window_ends_ms is not None
        if self._finished < MIN_FINISHED and not has_room:
            return now_ms >= self._window_ends_ms + EXTRA_WINDOW_MS
        return now_ms >= self._window_ends_ms

    def _move(self, now_ms: float, queue: QueueState) -> None:
        wanted = max(0, self._finished + queue.free)
        if len(self._arrivals) > wanted:
            self._arrivals.sort()
            self._tighten(ShedLevel(*self._arrivals[wanted]), queue)
        elif not self._shed:
            self.level = self._looser(now_ms, wanted)
        if queue.middle is not None:
            # Such work goes in front of half the queue: it is not shed.
            middle = ShedLevel(queue.middle.rank, queue.middle.root_hash)
            self.level = max(self.level, middle)

    def _tighten(self, level: ShedLevel, queue: QueueState) -> None:
        # What goes before the last entry is taken at present, so that a window without
        # answers, or a limit just lowered, must not close the level on it.
        if queue.last is not None:
            last = ShedLevel(queue.last.rank, queue.last.root_hash)
            self.level = min(self.level, max(level, last))

    def _looser(self, now_ms: float, wanted: int) -> ShedLevel:
        """Return the next step of re-admission, where ``wanted`` arrivals would fit.

        A rank opens over several windows, so that the demand that was held back does
        not come at once. Ranks that nobody asks for are passed over.
        """
        rank, root_hash = self.level
        missing = wanted - len(self._arrivals)
        is_busy = missing < len(self._arrivals)
        factor = BUSY_GROWTH_FACTOR if is_busy else GROWTH_FACTOR
        span = BUSY_GROWTH_SPAN if is_busy else GROWTH_SPAN
        of_rank = sum(arrival[0] == rank for arrival in self._arrivals)
        greatest = max(root_hash * factor, root_hash + span)
        opened = root_hash * (1 + missing / of_rank) if of_rank else greatest
        opened = min(greatest, max(opened, root_hash + MIN_GROWTH_SPAN))
        if opened < ROOT_HASH_SPAN:
            return ShedLevel(rank, int(opened))
        oldest_ms = now_ms - RANK_TTL_MS
        seen = [r for r, at_ms in self._rank_seen_ms.items() if at_ms > oldest_ms]
        higher = [r for r in seen if r > rank]
        return ShedLevel(min(higher), span) if higher else NOTHING_SHED
