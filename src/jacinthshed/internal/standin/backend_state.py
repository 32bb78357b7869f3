"""State of a stand-in backend server."""

from collections import Counter, deque
from enum import StrEnum
from typing import NamedTuple

import trio

from .backend_options import BackendOptions


class ShedAnswer(StrEnum):
    """How the server answers a request that exceeds its slots and queue.

    ``NOT_RUN`` adds the verdict field to the 503; ``BARE`` leaves it out.
    """

    BARE = "bare"
    NOT_RUN = "not-run"


class Health(NamedTuple):
    """Health at one point in time, as the health endpoint returns it.

    ``load`` is the number of requests in progress, waiting ones included, per slot.
    """

    at_s: float
    load: float
    state: str


class BackendState:
    """Requests in progress, counters, and the settings of the admin interface.

    ``multiplier`` scales the service time. ``in_hand`` counts the requests that run or
    wait. ``starts`` counts how many times work started for each idempotency key.
    """

    def __init__(self, *, options: BackendOptions) -> None:
        self.options = options
        self.multiplier = 1.0
        self.shed_answer = ShedAnswer.NOT_RUN
        self.draining = False
        self.in_hand = 0
        self.finished = 0
        self.shed = 0
        self.cancelled = 0
        self.starts: Counter[str] = Counter()
        self.free_slots = trio.Semaphore(options.slots)
        self._started_s = trio.current_time()
        self._health: deque[Health] = deque([Health(self._started_s, 0.0, "live")])

    @property
    def is_full(self) -> bool:
        """Whether all slots and all places in the queue are taken."""
        return self.in_hand >= self.options.slots + self.options.queue

    @property
    def is_cold(self) -> bool:
        """Whether the server is within ``cold_ms`` of its start."""
        age_s = trio.current_time() - self._started_s
        return age_s * 1_000 < self.options.cold_ms

    def service_ms(self, uniform: float) -> float:
        """Return the duration of one request; ``uniform`` is random in [0, 1)."""
        options = self.options
        varied = options.service_ms * (1 + options.spread * (2 * uniform - 1))
        cold = options.cold_factor if self.is_cold else 1.0
        return varied * self.multiplier * cold

    def record_health(self) -> None:
        """Record the current load, to be returned ``health_lag_ms`` later."""
        now_s = trio.current_time()
        state = "draining" if self.draining else "live"
        self._health.append(
            Health(now_s, self.in_hand / max(1, self.options.slots), state)
        )
        lagged_s = now_s - self.options.health_lag_ms / 1_000
        while len(self._health) > 1 and self._health[1].at_s <= lagged_s:
            self._health.popleft()

    def lagged_health(self) -> Health:
        """Return the health of ``health_lag_ms`` ago."""
        self.record_health()
        return self._health[0]
