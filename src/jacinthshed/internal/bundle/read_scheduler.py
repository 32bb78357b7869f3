"""Which nodes read the platform, and when.

A few nodes of each availability zone hold a watch. They tell the others by gossip how
long ago the platform last answered anyone. When that grows too old, further nodes step
in, in stages that double their number, and each reads within its own budget.
"""

import math
from enum import StrEnum
from random import Random
from typing import NamedTuple

from .model import ReaderPolicy
from .read_budget import ReadBudget
from .reader_rank import ReaderRank

# A starting node reads once, at a random time within this window.
START_WINDOW_MS = 2_000.0
# Time between two stages of stepping in; also the spread within a stage.
STAGE_MS = 5_000.0
FIRST_BACKOFF_MS = 500.0
# How soon a node that has nothing to read looks again, at the latest.
MAX_WAIT_MS = 1_000.0
# Added to an age at each hop. It has to exceed the usual delay of a message: else the
# same news, told back and forth, would seem fresher each time and never grow old.
HOP_DELAY_MS = 100.0


class ReadAction(StrEnum):
    """What a node does about one key of the platform."""

    READ = "read"
    WATCH = "watch"
    WAIT = "wait"


class ReadDecision(NamedTuple):
    """A decision: act now, or ask again after ``wait_ms``."""

    action: ReadAction
    wait_ms: float
    reason: str


class _KeyState:
    """Reads of one key: whether it was ever read, and failures in a row."""

    def __init__(self, not_before_ms: float) -> None:
        self.read_once = False
        self.failures = 0
        self.not_before_ms = not_before_ms


class ReadScheduler:
    """Decides on the reads of one node.

    For each key, ask ``decide``; after each read or watch, call ``read_finished``. All
    keys draw on one budget.
    """

    def __init__(
        self,
        *,
        host: str,
        availability_zone: str,
        policy: ReaderPolicy,
        keys: tuple[str, ...],
        random: Random,
        now_ms: float,
        start_window_ms: float = START_WINDOW_MS,
    ) -> None:
        self._policy = policy
        self._random = random
        self._rank = ReaderRank(host=host, availability_zone=availability_zone)
        self._budget = ReadBudget(
            now_ms=now_ms, node_reads_per_s=policy.node_reads_per_s
        )
        self._answered_ms: float | None = None
        self._started_ms = now_ms
        self._spread = random.random()
        self._keys = {
            key: _KeyState(now_ms + random.random() * start_window_ms) for key in keys
        }

    @property
    def rank(self) -> int:
        """Place among the live hosts of the zone."""
        return self._rank.rank

    def policy_changed(self, now_ms: float, policy: ReaderPolicy) -> None:
        """Follow the policy of a new bundle."""
        self._policy = policy
        self._resize(now_ms)

    def member_up(self, now_ms: float, host: str, availability_zone: str) -> None:
        """Note that ``host`` is live."""
        self._rank.add(host, availability_zone)
        self._resize(now_ms)

    def member_down(self, now_ms: float, host: str) -> None:
        """Note that ``host`` is leaving, gone or unreachable."""
        self._rank.remove(host)
        self._resize(now_ms)

    def peer_reported_answer(self, now_ms: float, age_ms: float) -> None:
        """Note from a peer that the platform answered someone ``age_ms`` ago."""
        if age_ms >= 0.0:
            self._answered(now_ms - age_ms - HOP_DELAY_MS)

    def answer_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago the platform last answered anyone, to tell peers.

        It is ``None`` before the first news: a node that has just started knows
        nothing that could calm others.
        """
        if self._answered_ms is None:
            return None
        return max(0.0, now_ms - self._answered_ms)

    def decide(self, now_ms: float, key: str) -> ReadDecision:
        """Return what to do about ``key`` now; a read or watch uses the budget."""
        state = self._keys[key]
        action, reason, wait_ms = self._wanted(now_ms, state)
        wait_ms = max(wait_ms, state.not_before_ms - now_ms)
        if action is not ReadAction.WAIT and wait_ms <= 0.0:
            wait_ms = self._budget.wait_ms(now_ms)
            if self._budget.take(now_ms):
                return ReadDecision(action, 0.0, reason)
            reason = "budget"
        return ReadDecision(
            ReadAction.WAIT, min(max(wait_ms, 1.0), MAX_WAIT_MS), reason
        )

    def read_finished(self, now_ms: float, key: str, *, answered: bool) -> None:
        """Note the end of a read or watch of ``key``.

        ``answered`` says that the platform answered, also with nothing new.
        """
        state = self._keys[key]
        if answered:
            state.read_once = True
            state.failures = 0
            self._answered(now_ms)
            return
        backoff_ms = FIRST_BACKOFF_MS * 2.0 ** min(state.failures, 16)
        state.failures += 1
        # Half fixed and half random: no read at once, and no two nodes in step.
        share = 0.5 + 0.5 * self._random.random()
        state.not_before_ms = now_ms + share * min(
            backoff_ms, self._policy.max_backoff_ms
        )

    def _wanted(self, now_ms: float, state: _KeyState) -> tuple[ReadAction, str, float]:
        if not state.read_once:
            return ReadAction.READ, "start", 0.0
        if self._rank.rank < self._policy.per_zone:
            return ReadAction.WATCH, "rank", 0.0
        known_ms = self._started_ms if self._answered_ms is None else self._answered_ms
        wait_ms = known_ms + self._steps_in_after_ms() - now_ms
        if wait_ms > 0.0:
            return ReadAction.WAIT, "not a reader", wait_ms
        return ReadAction.READ, "readers are quiet", 0.0

    def _steps_in_after_ms(self) -> float:
        """Return the age of the last news at which this node reads as well."""
        places = (self._rank.rank + 1) / self._policy.per_zone
        stage = max(1, math.ceil(math.log2(places))) - 1
        return self._policy.quiet_after_ms + (stage + self._spread) * STAGE_MS

    def _answered(self, at_ms: float) -> None:
        if self._answered_ms is None or at_ms > self._answered_ms:
            self._answered_ms = at_ms
            self._spread = self._random.random()

    def _resize(self, now_ms: float) -> None:
        self._budget.resize(
            now_ms,
            reads_per_s=self._policy.reads_per_s,
            nodes=self._rank.nodes,
            node_reads_per_s=self._policy.node_reads_per_s,
        )
