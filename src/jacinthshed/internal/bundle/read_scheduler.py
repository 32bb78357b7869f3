"""Scheduling of the reads from the platform.

A few nodes of each availability zone keep a watch open; a few others take over while
they get no answer. When the platform answered nobody for long, further nodes read, in
stages that double their number.
"""

import math
from math import inf
from random import Random

from .model import ReaderPolicy
from .read_budget import ReadBudget
from .read_decision import ReadAction, ReadDecision
from .read_key_state import KeyState
from .reader_rank import ReaderRank
from .watch_phase import MIN_WATCH_MS, spread_wait_ms

# A starting node reads once, at a random time within this window.
START_WINDOW_MS = 2_000.0
# Time between two stages of further readers; the nodes of a stage spread over it too.
STAGE_MS = 5_000.0
FIRST_BACKOFF_MS = 500.0
# Longest wait before a node that has nothing to read decides again.
MAX_WAIT_MS = 1_000.0
# Added to the age of an answer at each hop. It has to exceed the usual delay of a
# message: otherwise the same answer, reported back and forth, would seem more recent
# each time, and its age would never reach the threshold.
HOP_DELAY_MS = 100.0
# After this time without an answer, entries may have expired, as nobody renewed them.
EXPIRY_AFTER_MS = 3_000.0
# Entries that expired in an outage are listed again within about this time.
RELIST_MS = 2_000.0
# Longest wait of a substitute after a failed call; readers repeat theirs sooner.
SUBSTITUTE_BACKOFF_MS = 3_000.0
# Largest number of hosts of a zone that read in place of its readers.
MAX_SUBSTITUTES = 4
# Largest deviation from the time between two calls, as a share of it.
BATCH_JITTER = 0.4
# A wait may end a little early by this node's clock. Counting it as cut short would
# repeat its part, after which the waits of two readers end together.
FULL_WAIT_SHARE = 0.95

_READERS_ARE_QUIET = "readers are quiet"
_INCOMPLETE = "last reading was incomplete"


class ReadScheduler:
    """Decides when one node reads which key.

    For each key, call ``decide``; after each read or watch, call ``read_finished``. All
    keys share one read budget. Times are milliseconds of a monotonic clock.
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
        self._last_answer_ms: float | None = None
        # The first answer known after an outage in which entries may have expired.
        self._recovered_ms = -inf
        self._started_ms = now_ms
        self._stage_share = random.random()
        self._keys = {
            key: KeyState(now_ms + random.random() * start_window_ms) for key in keys
        }

    @property
    def rank(self) -> int:
        """Rank among the live hosts of the availability zone; 0 is the first reader."""
        return self._rank.rank

    def watches(self) -> bool:
        """Return whether this node is one of those that watch the platform now."""
        return self._rank.effective_rank < self._readers_in_zone()

    def policy_changed(self, now_ms: float, policy: ReaderPolicy) -> None:
        """Apply the policy of a new bundle."""
        self._policy = policy
        self._update_budget(now_ms)

    def member_up(self, now_ms: float, host: str, availability_zone: str) -> None:
        """Record that ``host`` is live."""
        self._rank.add(host, availability_zone)
        self._update_budget(now_ms)

    def member_down(self, now_ms: float, host: str) -> None:
        """Record that ``host`` is leaving, gone or unreachable."""
        self._rank.remove(host)
        self._update_budget(now_ms)

    def host_unanswered(self, now_ms: float, host: str, for_ms: float) -> bool:
        """Record that the platform doesn't answer ``host``; return whether it is news.

        For that time, the next host of the zone reads in its place.
        """
        return self._rank.suspend(host, now_ms, now_ms + for_ms)

    def substitutes(self) -> list[str]:
        """Return the hosts that read in turn if this one gets no answer."""
        # If no substitute gets an answer either, it is an outage.
        last_rank = self._readers_in_zone() + MAX_SUBSTITUTES - 1
        return self._rank.successors()[: max(0, last_rank - self._rank.rank)]

    def peer_reported_answer(self, now_ms: float, age_ms: float) -> None:
        """Record a peer's message that the platform answered a node ``age_ms`` ago.

        A negative ``age_ms`` means that the peer knows of no answer.
        """
        if age_ms >= 0.0:
            self._record_answer(now_ms - age_ms - HOP_DELAY_MS)

    def answer_age_ms(self, now_ms: float) -> float | None:
        """Return how long ago the platform last answered any node, for gossip.

        It is ``None`` while no answer is known: a node that has just started must not
        keep others from reading.
        """
        if self._last_answer_ms is None:
            return None
        return max(0.0, now_ms - self._last_answer_ms)

    def decide(self, now_ms: float, key: str) -> ReadDecision:
        """Return the action for ``key`` now; a read or watch consumes the budget."""
        state = self._keys[key]
        self._rank.end_suspensions(now_ms)
        action, reason, wait_ms = self._wanted_action(now_ms, state)
        wait_ms = max(wait_ms, state.not_before_ms - now_ms)
        if action is not ReadAction.WAIT and wait_ms <= 0.0:
            wait_ms = self._budget.wait_ms(now_ms)
            if self._budget.take(now_ms):
                self._start_call(now_ms, state, action, reason)
                return ReadDecision(action, 0.0, reason, state.watch_ms)
            reason = "budget"
        return ReadDecision(
            ReadAction.WAIT, min(max(wait_ms, 1.0), MAX_WAIT_MS), reason
        )

    def read_again_at(self, at_ms: float, key: str) -> None:
        """Read ``key`` again at ``at_ms``, if this node is a reader or acted as one."""
        self._keys[key].read_again_ms = at_ms

    def read_finished(self, now_ms: float, key: str, *, answered: bool) -> float:
        """Record the end of a read or watch of ``key``.

        ``answered`` is true when the platform answered, even without a change. Returns
        the time from which a reading shows that an entry which it lacks is gone, and
        did not only expire in an outage. A watch that follows an answered call at once
        shows it at any time.
        """
        state = self._keys[key]
        # A substitute's last call may have been long ago, and an outage in between.
        follows = state.called_ms - state.answered_ms < EXPIRY_AFTER_MS
        was_unbroken = state.is_unbroken and state.is_watch and follows
        state.is_unbroken = answered
        waited_ms = now_ms - state.called_ms
        full_wait_ms = FULL_WAIT_SHARE * state.watch_ms
        has_waited = state.is_watch and waited_ms >= full_wait_ms
        state.is_in_step = not (answered and has_waited)
        if answered:
            if not state.is_watch:
                state.read_again_ms = inf
            if not state.read_once:
                state.settled_ms = now_ms + self._policy.settle_ms
            state.read_once = True
            state.answered_ms = now_ms
            state.failures = 0
            state.not_before_ms = state.called_ms + self._batch_ms()
            self._record_answer(now_ms)
            return -inf if was_unbroken else self._recovered_ms + RELIST_MS
        state.not_before_ms = now_ms + self._backoff_ms(state)
        state.failures += 1
        return inf

    def _backoff_ms(self, state: KeyState) -> float:
        """Return the wait after a failed call, before it is counted as a failure."""
        if state.is_watch and not state.failures:
            # Only its connection may have failed, and changes may have been missed.
            return 0.0
        backoff_ms = FIRST_BACKOFF_MS * 2.0 ** min(state.failures, 16)
        max_ms = float(self._policy.max_backoff_ms)
        if self._rank.rank >= self._readers_in_zone():
            backoff_ms = max_ms = max(max_ms, SUBSTITUTE_BACKOFF_MS)
        # Half of the backoff is fixed, so that no read follows at once. The other half
        # is jitter, so that nodes don't retry at the same time.
        return (0.5 + 0.5 * self._random.random()) * min(backoff_ms, max_ms)

    def _start_call(
        self, now_ms: float, state: KeyState, action: ReadAction, reason: str
    ) -> None:
        state.called_ms = now_ms
        state.watch_ms = self._watch_ms(now_ms, action, state)
        state.is_watch = action is ReadAction.WATCH
        if reason != _INCOMPLETE:
            state.is_substitute = reason == _READERS_ARE_QUIET

    def _wanted_action(
        self, now_ms: float, state: KeyState
    ) -> tuple[ReadAction, str, float]:
        if not state.read_once:
            return ReadAction.READ, "start", 0.0
        if now_ms < state.settled_ms:
            return ReadAction.WAIT, "rank not known yet", state.settled_ms - now_ms
        is_reader = self.watches()
        if now_ms >= state.read_again_ms and (is_reader or state.is_substitute):
            return ReadAction.READ, _INCOMPLETE, 0.0
        if is_reader:
            return ReadAction.WATCH, "rank", 0.0
        last_known_ms = (
            self._started_ms if self._last_answer_ms is None else self._last_answer_ms
        )
        wait_ms = last_known_ms + self._reads_after_ms() - now_ms
        if wait_ms > 0.0:
            return ReadAction.WAIT, "not a reader", wait_ms
        return ReadAction.READ, _READERS_ARE_QUIET, 0.0

    def _reads_after_ms(self) -> float:
        """Return the age of the last known answer at which this node reads as well."""
        places = (self._rank.rank + 1) / self._readers_in_zone()
        stage = max(1, math.ceil(math.log2(places))) - 1
        return self._policy.quiet_after_ms + (stage + self._stage_share) * STAGE_MS

    def _readers_in_zone(self) -> int:
        """Return how many nodes of each availability zone read."""
        policy = self._policy
        if policy.fleet_readers == 0:
            return policy.per_zone
        share = math.ceil(policy.fleet_readers / self._rank.zones)
        return min(policy.per_zone, share)

    def _watch_ms(self, now_ms: float, action: ReadAction, state: KeyState) -> int:
        """Return the longest wait of the next call.

        A watch on a connection that goes silent is given up when its wait is over. The
        waits of the readers, and those of the keys of each, end one after the other, so
        that such a silence of all connections is noticed within a part of a wait.
        """
        if action is not ReadAction.WATCH:
            return 0
        watch_ms = self._policy.watch_ms
        if not state.is_in_step:
            states = [*self._keys.values()]
            watch_ms = spread_wait_ms(now_ms, watch_ms, states, states.index(state))
        else:
            state.staggered_ms = now_ms
            readers = self._readers_in_zone() * self._rank.zones
            place = min(self._rank.rank_in_fleet + 1, readers)
            watch_ms = watch_ms * place // readers
            # Counted from the change that all readers saw at the same time, since some
            # of them had to wait before they called again.
            held_ms = max(0.0, state.not_before_ms - state.answered_ms)
            if state.is_unbroken:
                watch_ms = max(MIN_WATCH_MS, watch_ms - int(held_ms))
        return math.ceil(min(watch_ms, state.read_again_ms - now_ms))

    def _batch_ms(self) -> float:
        """Return the time between the starts of two calls for the same key.

        It varies, as otherwise one change would make all readers call in step.
        """
        if self._policy.batch_ms == 0:
            return 0.0
        share = 1.0 + BATCH_JITTER * (2.0 * self._random.random() - 1.0)
        return share * self._policy.batch_ms

    def _record_answer(self, at_ms: float) -> None:
        last_ms = -inf if self._last_answer_ms is None else self._last_answer_ms
        if at_ms - last_ms >= EXPIRY_AFTER_MS:
            self._recovered_ms = at_ms
        if at_ms > last_ms:
            self._last_answer_ms = at_ms
            self._stage_share = self._random.random()

    def _update_budget(self, now_ms: float) -> None:
        self._budget.resize(
            now_ms,
            reads_per_s=self._policy.reads_per_s,
            nodes=self._rank.nodes,
            node_reads_per_s=self._policy.node_reads_per_s,
        )
