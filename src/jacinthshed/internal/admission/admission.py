"""Admission control at one target: slots, queue, refusals and shed level."""

from typing import NamedTuple

from ..bundle.model import AdmissionPolicy
from ..verdict import Reason
from .announced_rate import AnnouncedRate
from .decision import Decision, Refuse, Start
from .limit import AdaptiveLimit
from .outcome import Outcome
from .queue import WaitingQueue
from .shed_level import ALL_SHED, ShedLevel
from .shed_level_controller import QueueState, ShedLevelController
from .slowdown import Slowdown
from .work import Work, sort_key

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5_000
RETRY_SPREAD_STEPS = 1_024
MAX_QUEUE_WAIT_MS = 400
# Queueing delay that the shed level aims at. It is well below ``MAX_QUEUE_WAIT_MS``
# because a request may wait in the queue of every service on its path.
DESIRED_WAIT_MS = 40
MIN_USABLE_CAPACITY = 4


class Running(NamedTuple):
    """A dispatch in flight: its route, and the monotonic time at which it started."""

    route: str
    started_ms: float


class Admission:
    """Decides which attempts start, wait or are refused at one target.

    Every offered ticket gets exactly one ``Start`` or ``Refuse``, unless it is
    withdrawn while it waits. Work is never refused for load while less important work
    (with a larger rank number) waits, or is accepted later with the same ``now_ms``.

    ``slots`` is the upper bound of the concurrency limit. ``queue`` is the capacity of
    the queue; 0 means as many entries as there are slots. All times are monotonic
    milliseconds of this host. ``rate`` limits how many requests start per second.
    ``slowdown`` is how much longer than usual work takes at the backend server.
    """

    def __init__(self, *, slots: int, queue: int, policy: AdmissionPolicy) -> None:
        self._limit = AdaptiveLimit(slots=slots, policy=policy)
        self._queue = WaitingQueue(capacity=queue or slots)
        self._controller = ShedLevelController()
        self.rate = AnnouncedRate()
        self.slowdown = Slowdown()
        self._running: dict[int, Running] = {}
        self._waiting_routes: dict[int, str] = {}
        self._leaving = False
        self._last_shed_ms = float("-inf")
        self._last_shed_rank = 0

    @property
    def limit(self) -> int:
        """The maximum number of dispatches in flight, as it is now."""
        return self._limit.value

    @property
    def in_flight(self) -> int:
        """The number of dispatches in flight."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of attempts that wait for a slot."""
        return len(self._queue)

    def load(self, now_ms: float) -> float:
        """Return the used part of the limit or the rate; with a queue it exceeds 1.

        It is larger by the present slowdown, as the slots are worth less by that much.
        """
        waiting = len(self._queue)
        of_limit = (len(self._running) + waiting) / self._limit.value
        used = max(of_limit, self.rate.load(now_ms, waiting))
        return used * self.slowdown.factor(now_ms)

    def offer(self, now_ms: float, work: Work, route: str = "") -> list[Decision]:
        """Start, queue or refuse ``work``; may shed a less important entry for it."""
        if self._leaving:
            return [Refuse(work.ticket, Reason.LEAVING, MIN_RETRY_AFTER_MS)]
        self._controller.record_arrival(now_ms, work.rank, work.root_hash)
        decisions = self._fill_slots(now_ms)
        if work.deadline_at_ms <= now_ms or self._is_too_late(now_ms, work, route):
            return [*decisions, Refuse(work.ticket, Reason.DEADLINE, 0)]
        if now_ms == self._last_shed_ms and work.rank > self._last_shed_rank:
            return [*decisions, self._shed(now_ms, work)]
        if self._may_start(now_ms):
            return [*decisions, self._start(now_ms, work.ticket, route)]
        return [*decisions, *self._enqueue(now_ms, work, route)]

    def finish(
        self,
        now_ms: float,
        ticket: int,
        latency_ms: float,
        outcome: Outcome,
        nested_ms: float = 0.0,
    ) -> list[Decision]:
        """Free the slot of a dispatch that ended and start waiting work in it.

        ``nested_ms`` is the part of ``latency_ms`` during which nested calls were
        outstanding. An unknown ticket is ignored.
        """
        running = self._running.pop(ticket, None)
        if running is None:
            return []
        self._limit.record_completion(
            now_ms, latency_ms, outcome, route=running.route, nested_ms=nested_ms
        )
        self._controller.record_finish()
        return self._fill_slots(now_ms)

    def expire(self, now_ms: float) -> list[Decision]:
        """Refuse waiting work that can no longer finish by its deadline."""
        expired = self._queue.pop_expired(now_ms)
        for work in expired:
            del self._waiting_routes[work.ticket]
        return [Refuse(work.ticket, Reason.DEADLINE, 0) for work in expired]

    def advance(self, now_ms: float) -> list[Decision]:
        """Refuse expired work and start the work whose turn has come."""
        return self._fill_slots(now_ms)

    def next_advance_ms(self) -> float | None:
        """Return when ``advance`` has to be called next, or None when nothing waits."""
        expiry_ms = self._queue.next_expiry_ms()
        if expiry_ms is None or len(self._running) >= self._limit.value:
            return expiry_ms
        return min(expiry_ms, self.rate.next_start_ms())

    def withdraw(self, now_ms: float, ticket: int) -> bool:
        """Remove waiting work; return False if ``ticket`` is not in the queue."""
        self._waiting_routes.pop(ticket, None)
        return self._queue.remove(ticket) is not None

    def drain(self, now_ms: float) -> list[Decision]:
        """Refuse all waiting work and all later offers; running work continues."""
        self._leaving = True
        refused: list[Decision] = []
        while len(self._queue):
            ticket = self._queue.pop_first().ticket
            del self._waiting_routes[ticket]
            refused.append(Refuse(ticket, Reason.LEAVING, MIN_RETRY_AFTER_MS))
        return refused

    def level(self, now_ms: float) -> ShedLevel:
        """Return the shed level: work at or above it would be refused now."""
        if self._leaving:
            return ALL_SHED
        self._update_level(now_ms)
        return self._controller.level

    def resize(
        self, now_ms: float, *, slots: int, queue: int, policy: AdmissionPolicy
    ) -> list[Decision]:
        """Apply the sizes and the policy of a new bundle.

        Returns starts for added slots, and refusals of entries that have expired or
        exceed the new queue capacity.
        """
        self._limit.resize(slots=slots, policy=policy)
        self._queue.capacity = queue or slots
        decisions = self._fill_slots(now_ms)
        while len(self._queue) > self._queue.capacity:
            decisions.append(self._shed_lowest(now_ms))
        return decisions

    def _is_too_late(self, now_ms: float, work: Work, route: str) -> bool:
        """Return whether ``work`` would miss its deadline behind the work ahead of it.

        False when nothing is in flight: a target that refuses everything would never
        measure that its backend server has become fast again.
        """
        if not self._running:
            return False
        hold_ms = self._limit.hold_ms(route)
        wait_ms = 0.0
        if len(self._running) >= self._limit.value:
            position = self._queue.count_before(work) + 1
            wait_ms = hold_ms * position / self._limit.value
        return now_ms + wait_ms + hold_ms > work.deadline_at_ms

    def _enqueue(self, now_ms: float, work: Work, route: str) -> list[Decision]:
        self._limit.record_saturation()
        decisions: list[Decision] = []
        if len(self._queue) >= self._usable_capacity():
            if not len(self._queue) or sort_key(work) > sort_key(self._queue.lowest()):
                return [self._shed(now_ms, work)]
            decisions.append(self._shed_lowest(now_ms))
        self._waiting_routes[work.ticket] = route
        latest_start_ms = work.deadline_at_ms - self._limit.hold_ms(route)
        self._queue.push(work, latest_start_ms)
        return decisions

    def _usable_capacity(self) -> int:
        """Return how many entries may wait now, at most the queue's capacity.

        The queue only has to bridge the gaps between arrivals. When the backend server
        is slow, entries at the end of a full queue would occupy the slots of the
        services above for longer than the work itself takes.
        """
        capacity = self._queue.capacity
        if self.rate.is_limited:
            by_rate = int(self.rate.rate_per_s * MAX_QUEUE_WAIT_MS / 1_000)
            capacity = min(capacity, by_rate)
        hold_ms = self._limit.mean_hold_ms
        if hold_ms <= 0.0:
            return capacity
        servable = int(self._limit.value * MAX_QUEUE_WAIT_MS / hold_ms)
        return min(capacity, max(MIN_USABLE_CAPACITY, servable))

    def _shed_lowest(self, now_ms: float) -> Refuse:
        lowest = self._queue.pop_lowest()
        del self._waiting_routes[lowest.ticket]
        return self._shed(now_ms, lowest)

    def _shed(self, now_ms: float, work: Work) -> Refuse:
        """Refuse ``work`` for load.

        Less important work that is offered with the same ``now_ms`` is refused too.
        """
        if now_ms != self._last_shed_ms or work.rank < self._last_shed_rank:
            self._last_shed_rank = work.rank
        self._last_shed_ms = now_ms
        self._controller.record_shed()
        return Refuse(work.ticket, Reason.SHED, self._retry_after_ms(work))

    def _retry_after_ms(self, work: Work) -> int:
        """Return the estimated time to empty the queue, in milliseconds.

        It is at least ``MIN_RETRY_AFTER_MS`` and at most ``MAX_RETRY_AFTER_MS``, and
        then extended by up to its own length, depending on the root's hash, so that
        resends don't arrive together.
        """
        hold_ms = self._limit.mean_hold_ms
        drain_ms = hold_ms * (1 + len(self._queue) / self._limit.value)
        drain_ms = max(drain_ms, (1 + len(self._queue)) / self.rate.rate_per_s * 1_000)
        base_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, drain_ms))
        spread = (work.root_hash % RETRY_SPREAD_STEPS) / RETRY_SPREAD_STEPS
        return int(base_ms * (1 + spread))

    def _fill_slots(self, now_ms: float) -> list[Decision]:
        """Refuse expired work and start waiting work while there are free slots."""
        decisions = self.expire(now_ms)
        while len(self._queue) and self._may_start(now_ms):
            ticket = self._queue.pop_first().ticket
            decisions.append(
                self._start(now_ms, ticket, self._waiting_routes.pop(ticket))
            )
        self._update_level(now_ms)
        return decisions

    def _may_start(self, now_ms: float) -> bool:
        is_slot_free = len(self._running) < self._limit.value
        return is_slot_free and self.rate.may_start(now_ms)

    def _start(self, now_ms: float, ticket: int, route: str) -> Start:
        self.rate.take(now_ms)
        self._running[ticket] = Running(route, now_ms)
        return Start(ticket)

    def _update_level(self, now_ms: float) -> None:
        if self._controller.is_due(now_ms):
            self._controller.update(now_ms, self._queue_state(now_ms))

    def _queue_state(self, now_ms: float) -> QueueState:
        capacity = self._usable_capacity()
        # A short queue keeps the slots busy. It also limits how long work near the
        # shed level waits here while it occupies slots of the services above.
        desired = max(
            MIN_USABLE_CAPACITY // 2, capacity * DESIRED_WAIT_MS // MAX_QUEUE_WAIT_MS
        )
        free = self._limit.value + desired - len(self._running) - len(self._queue)
        if not self.rate.may_start(now_ms):
            free = min(free, desired - len(self._queue))
        return QueueState(
            free=free,
            middle=self._queue.sort_key_at(capacity // 2),
            last=self._queue.sort_key_at(len(self._queue) - 1),
        )
