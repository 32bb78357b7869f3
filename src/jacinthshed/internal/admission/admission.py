"""Admission of attempts at one target: slots, queue, refusals and shed level."""

from typing import NamedTuple

from ..bundle.model import AdmissionPolicy
from ..verdict import Reason
from .decision import Decision, Refuse, Start
from .limit import AdaptiveLimit
from .outcome import Outcome
from .queue import WaitingQueue
from .shed_level import ALL_SHED, ShedLevel
from .shed_level_controller import QueueState, ShedLevelController
from .work import Work, order_of

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5_000
HASH_SPREAD = 1_024
MAX_QUEUE_WAIT_MS = 400
# The wait that the shed level aims at. A request may wait in several queues in a row.
GOAL_WAIT_MS = 40
MIN_QUEUE = 4


class Running(NamedTuple):
    """A dispatch in flight."""

    route: str
    started_ms: float


class Admission:
    """Decides which attempts start, wait or are refused at one target.

    Every ticket that is offered gets exactly one ``Start`` or ``Refuse``, unless it is
    withdrawn while it waits. Work of a higher rank is never refused for load while
    work of a lower rank waits or is taken later at the same time.
    """

    def __init__(self, *, slots: int, queue: int, policy: AdmissionPolicy) -> None:
        self._limit = AdaptiveLimit(slots=slots, policy=policy)
        self._queue = WaitingQueue(capacity=queue or slots)
        self._control = ShedLevelController()
        self._running: dict[int, Running] = {}
        self._routes: dict[int, str] = {}
        self._leaving = False
        self._shed_at_ms = float("-inf")
        self._shed_rank = 0

    @property
    def limit(self) -> int:
        """How many dispatches may be in flight now."""
        return self._limit.value

    @property
    def in_flight(self) -> int:
        """How many dispatches are in flight."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many attempts wait for a slot."""
        return len(self._queue)

    @property
    def load(self) -> float:
        """Work in hand, running and waiting, as a share of the limit."""
        return (len(self._running) + len(self._queue)) / self._limit.value

    def offer(self, now_ms: float, work: Work, route: str = "") -> list[Decision]:
        """Start, queue or refuse ``work``; may shed a lower entry in its place."""
        if self._leaving:
            return [Refuse(work.ticket, Reason.LEAVING, MIN_RETRY_AFTER_MS)]
        self._control.note_arrival(now_ms, work.rank, work.root_hash)
        decisions = self._fill(now_ms)
        if work.deadline_at_ms <= now_ms or self._is_too_late(now_ms, work, route):
            return [*decisions, Refuse(work.ticket, Reason.DEADLINE, 0)]
        if now_ms == self._shed_at_ms and work.rank > self._shed_rank:
            return [*decisions, self._shed(now_ms, work)]
        if len(self._running) < self._limit.value:
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
        """Free the slot of a dispatch that ended, and start what waits for it.

        ``nested_ms`` is the part of ``latency_ms`` in which nested calls were
        outstanding. An unknown ticket changes nothing.
        """
        running = self._running.pop(ticket, None)
        if running is None:
            return []
        self._limit.on_done(
            now_ms, latency_ms, outcome, route=running.route, nested_ms=nested_ms
        )
        self._control.note_finished()
        return self._fill(now_ms)

    def expire(self, now_ms: float) -> list[Decision]:
        """Refuse waiting work that can't finish by its deadline any more."""
        expired = self._queue.pop_expired(now_ms)
        for work in expired:
            del self._routes[work.ticket]
        return [Refuse(work.ticket, Reason.DEADLINE, 0) for work in expired]

    def next_expiry_ms(self) -> float | None:
        """Return when ``expire`` has to be called next."""
        return self._queue.next_expiry_ms()

    def withdraw(self, now_ms: float, ticket: int) -> bool:
        """Forget waiting work; False when it doesn't wait here (any more)."""
        self._routes.pop(ticket, None)
        return self._queue.remove(ticket) is not None

    def drain(self, now_ms: float) -> list[Decision]:
        """Refuse all that waits and all later offers; running work goes on."""
        self._leaving = True
        refused: list[Decision] = []
        while len(self._queue):
            ticket = self._queue.pop_first().ticket
            del self._routes[ticket]
            refused.append(Refuse(ticket, Reason.LEAVING, MIN_RETRY_AFTER_MS))
        return refused

    def level(self, now_ms: float) -> ShedLevel:
        """Return the boundary above which work would be refused now."""
        if self._leaving:
            return ALL_SHED
        self._renew_level(now_ms)
        return self._control.level

    def resize(
        self, now_ms: float, *, slots: int, queue: int, policy: AdmissionPolicy
    ) -> list[Decision]:
        """Take over the sizes of a new bundle."""
        self._limit.resize(slots=slots, policy=policy)
        self._queue.capacity = queue or slots
        decisions = self._fill(now_ms)
        while len(self._queue) > self._queue.capacity:
            decisions.append(self._shed_lowest(now_ms))
        return decisions

    def _is_too_late(self, now_ms: float, work: Work, route: str) -> bool:
        """Whether ``work`` can't finish by its deadline, given what goes before it.

        With nothing in flight it starts in any case: a target that refuses everything
        would never learn that it has become fast again.
        """
        if not self._running:
            return False
        hold_ms = self._limit.hold_ms(route)
        wait_ms = 0.0
        if len(self._running) >= self._limit.value:
            places = self._queue.count_before(work) + 1
            wait_ms = hold_ms * places / self._limit.value
        return now_ms + wait_ms + hold_ms > work.deadline_at_ms

    def _enqueue(self, now_ms: float, work: Work, route: str) -> list[Decision]:
        self._limit.note_saturated()
        decisions: list[Decision] = []
        if len(self._queue) >= self._places():
            if order_of(work) > order_of(self._queue.lowest()):
                return [self._shed(now_ms, work)]
            decisions.append(self._shed_lowest(now_ms))
        self._routes[work.ticket] = route
        latest_start_ms = work.deadline_at_ms - self._limit.hold_ms(route)
        self._queue.push(work, latest_start_ms)
        return decisions

    def _places(self) -> int:
        """Return how many may wait now.

        A queue only has to bridge the gaps between arrivals. When the backend server is
        slow, a full one would hold the slots of the services above for longer than
        the work itself takes.
        """
        hold_ms = self._limit.mean_hold_ms
        if hold_ms <= 0.0:
            return self._queue.capacity
        worth = int(self._limit.value * MAX_QUEUE_WAIT_MS / hold_ms)
        return min(self._queue.capacity, max(MIN_QUEUE, worth))

    def _shed_lowest(self, now_ms: float) -> Refuse:
        lowest = self._queue.pop_lowest()
        del self._routes[lowest.ticket]
        return self._shed(now_ms, lowest)

    def _shed(self, now_ms: float, work: Work) -> Refuse:
        """Refuse ``work`` for load; less important work then waits for this instant."""
        if now_ms != self._shed_at_ms or work.rank < self._shed_rank:
            self._shed_rank = work.rank
        self._shed_at_ms = now_ms
        self._control.note_shed()
        return Refuse(work.ticket, Reason.SHED, self._retry_after_ms(work))

    def _retry_after_ms(self, work: Work) -> int:
        """Return the time to empty the queue, spread so that resends don't meet."""
        hold_ms = self._limit.mean_hold_ms
        drain_ms = hold_ms * (1 + len(self._queue) / self._limit.value)
        base_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, drain_ms))
        spread = (work.root_hash % HASH_SPREAD) / HASH_SPREAD
        return int(base_ms * (1 + spread))

    def _fill(self, now_ms: float) -> list[Decision]:
        """Start waiting work while there are free slots."""
        decisions = self.expire(now_ms)
        while len(self._queue) and len(self._running) < self._limit.value:
            ticket = self._queue.pop_first().ticket
            decisions.append(self._start(now_ms, ticket, self._routes.pop(ticket)))
        self._renew_level(now_ms)
        return decisions

    def _start(self, now_ms: float, ticket: int, route: str) -> Start:
        self._running[ticket] = Running(route, now_ms)
        return Start(ticket)

    def _renew_level(self, now_ms: float) -> None:
        if self._control.is_due(now_ms):
            self._control.renew(now_ms, self._queue_state())

    def _queue_state(self) -> QueueState:
        places = self._places()
        # A short queue keeps the slots busy, and is all the waiting that work near the
        # level does in slots of the services above.
        goal = max(MIN_QUEUE // 2, places * GOAL_WAIT_MS // MAX_QUEUE_WAIT_MS)
        free = self._limit.value + goal - len(self._running) - len(self._queue)
        return QueueState(
            free=free,
            middle=self._queue.order_at(places // 2),
            last=self._queue.order_at(len(self._queue) - 1),
        )
