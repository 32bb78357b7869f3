"""The adaptive limit of dispatches in flight at one target.

The limit has to fall when the backend server gets slower *because of* its
concurrency, and to stay when it is slow for another reason: then fewer slots would only
lower the throughput. Both look the same from a single latency. So when the latency
exceeds the tolerance the limit is lowered on trial, and stays lower only if the
latency followed. After a trial that failed the limit recovers, and the next trial waits
twice as long; after several in a row the slowness is taken for the new baseline.
"""

from ..bundle.model import AdmissionPolicy
from .latency import HOLD_WEIGHT, RouteLatency
from .outcome import Outcome

TRIAL_FACTOR = 0.75
TRIAL_SUCCESS = 0.875
REFUSAL_FACTOR = 0.9
FIRST_PAUSE_WINDOWS = 8
FAILED_TRIALS_TO_REBASE = 5
MIN_WINDOW_SAMPLES = 32
MIN_OWN_MS = 0.05


class AdaptiveLimit:
    """How many dispatches may be in flight, between the policy's minimum and slots."""

    def __init__(self, *, slots: int, policy: AdmissionPolicy) -> None:
        self._slots = slots
        self._policy = policy
        self._limit = float(slots)
        self._routes: dict[str, RouteLatency] = {}
        self._observed_ms = 0.0
        self._expected_ms = 0.0
        self._samples = 0
        self._saturated = False
        self._samples_to_skip = 0
        self._mean_hold_ms = 0.0
        self._trial_from: tuple[float, float] | None = None
        self._failed_trials = 0
        self._pause_windows = 0

    @property
    def value(self) -> int:
        """The limit in force."""
        lowest = max(1, self._policy.min_limit)
        return min(self._slots, max(lowest, int(self._limit)))

    @property
    def slots(self) -> int:
        """The greatest value that the limit may have."""
        return self._slots

    def resize(self, *, slots: int, policy: AdmissionPolicy) -> None:
        """Take over new bounds; the limit keeps its share of the slots."""
        self._limit *= slots / self._slots
        self._slots = slots
        self._policy = policy
        self._trial_from = None

    def hold_ms(self, route: str) -> float:
        """Return how long a call of ``route`` holds a slot; 0 before the first."""
        known = self._routes.get(route)
        return known.hold_ms if known is not None else 0.0

    @property
    def mean_hold_ms(self) -> float:
        """How long a call holds a slot, over all routes; 0 before the first."""
        return self._mean_hold_ms

    def note_saturated(self) -> None:
        """Remember that the limit, and not the demand, bounded the concurrency."""
        self._saturated = True

    def on_done(
        self,
        now_ms: float,
        latency_ms: float,
        outcome: Outcome,
        *,
        route: str = "",
        nested_ms: float = 0.0,
    ) -> None:
        """Learn from the end of one dispatch.

        ``nested_ms`` is the part of ``latency_ms`` in which at least one nested call
        was outstanding. It is subtracted, so that a slow service further down does not
        lower the limits of all the services above it.
        """
        if outcome is Outcome.REFUSED:
            self._on_refusal()
        elif outcome in (Outcome.OK, Outcome.TIMED_OUT):
            own_ms = max(MIN_OWN_MS, latency_ms - nested_ms)
            self._note(route, own_ms, latency_ms)

    def _on_refusal(self) -> None:
        # Refusals of one window of dispatches have one cause: count them as one.
        if self._samples_to_skip == 0:
            self._lower(REFUSAL_FACTOR)
            self._trial_from = None

    def _note(self, route: str, own_ms: float, hold_ms: float) -> None:
        self._mean_hold_ms += HOLD_WEIGHT * (hold_ms - self._mean_hold_ms)
        latency = self._routes.get(route)
        if latency is None:
            latency = self._routes[route] = RouteLatency(hold_ms)
        baseline_ms = latency.baseline_ms
        latency.note(own_ms, hold_ms, self._policy.latency_tolerance)
        if self._samples_to_skip > 0:
            self._samples_to_skip -= 1
            return
        if baseline_ms is None:
            return
        self._observed_ms += own_ms
        self._expected_ms += baseline_ms
        self._samples += 1
        if self._samples >= max(MIN_WINDOW_SAMPLES, 2 * self.value):
            self._close_window()

    def _close_window(self) -> None:
        ratio = self._observed_ms / self._expected_ms
        saturated = self._saturated
        self._clear_window()
        if self._trial_from is not None:
            self._end_trial(ratio)
        elif ratio <= self._policy.latency_tolerance:
            self._failed_trials = 0
            self._pause_windows = 0
            self._raise()
        elif self._pause_windows > 0:
            self._pause_windows -= 1
            self._raise()
        elif saturated and self.value > self._policy.min_limit:
            self._trial_from = (self._limit, ratio)
            self._lower(TRIAL_FACTOR)

    def _end_trial(self, ratio: float) -> None:
        assert self._trial_from is not None
        limit_before, ratio_before = self._trial_from
        self._trial_from = None
        if ratio <= ratio_before * TRIAL_SUCCESS:
            self._failed_trials = 0
            return
        self._limit = limit_before
        self._pause_windows = FIRST_PAUSE_WINDOWS << self._failed_trials
        self._failed_trials += 1
        if self._failed_trials >= FAILED_TRIALS_TO_REBASE:
            self._failed_trials = 0
            self._rebase(ratio)

    def _rebase(self, ratio: float) -> None:
        """Take the present latency for the baseline: concurrency didn't cause it."""
        for latency in self._routes.values():
            if latency.baseline_ms is not None:
                latency.baseline_ms *= ratio

    def _raise(self) -> None:
        self._limit = min(self._slots, self._limit + max(1.0, self._limit**0.5))

    def _lower(self, factor: float) -> None:
        # Calls that are in flight now started under the old limit and tell nothing
        # about the new one.
        self._samples_to_skip = self.value
        self._limit = max(self._policy.min_limit, self._limit * factor)
        self._clear_window()

    def _clear_window(self) -> None:
        self._observed_ms = 0.0
        self._expected_ms = 0.0
        self._samples = 0
        self._saturated = False
