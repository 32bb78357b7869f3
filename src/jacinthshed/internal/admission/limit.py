"""The adaptive limit of dispatches in flight at one target.

The limit has to fall when the backend server gets slower *because of* its
concurrency, and to stay when the server is slow for another reason: fewer slots would
then only lower the throughput. A single latency can't tell the two cases apart. So
when the latency exceeds the tolerance, the limit is lowered on trial, and stays lower
only if the latency falls as well. After a failed trial the limit is restored and the
pause before the next trial doubles. After ``FAILED_TRIALS_TO_REBASELINE`` failed
trials in a row the present latency becomes the new baseline.
"""

from ..bundle.model import AdmissionPolicy
from .latency import HOLD_WEIGHT, RouteLatency
from .outcome import Outcome

TRIAL_FACTOR = 0.75
TRIAL_SUCCESS_RATIO = 0.875
REFUSAL_FACTOR = 0.9
FIRST_PAUSE_WINDOWS = 8
FAILED_TRIALS_TO_REBASELINE = 5
MIN_WINDOW_SAMPLES = 32
MIN_OWN_MS = 0.05


class AdaptiveLimit:
    """Limit of dispatches in flight, between ``policy.min_limit`` and ``slots``."""

    def __init__(self, *, slots: int, policy: AdmissionPolicy) -> None:
        self._slots = slots
        self._policy = policy
        self._limit = float(slots)
        self._latencies: dict[str, RouteLatency] = {}
        self._observed_ms = 0.0
        self._expected_ms = 0.0
        self._samples = 0
        self._saturated = False
        self._samples_to_skip = 0
        self._mean_hold_ms = 0.0
        self._trial_start: tuple[float, float] | None = None
        self._failed_trials = 0
        self._pause_windows = 0

    @property
    def value(self) -> int:
        """The present limit as a whole number."""
        lowest = max(1, self._policy.min_limit)
        return min(self._slots, max(lowest, int(self._limit)))

    @property
    def slots(self) -> int:
        """The upper bound of the limit."""
        return self._slots

    def resize(self, *, slots: int, policy: AdmissionPolicy) -> None:
        """Apply new bounds; the limit keeps its ratio to the slots."""
        self._limit *= slots / self._slots
        self._slots = slots
        self._policy = policy
        self._trial_start = None

    def hold_ms(self, route: str) -> float:
        """Return how long a call of ``route`` holds a slot; 0 before its first end."""
        known = self._latencies.get(route)
        return known.hold_ms if known is not None else 0.0

    @property
    def mean_hold_ms(self) -> float:
        """Moving average of the time that a call of any route holds a slot, or 0."""
        return self._mean_hold_ms

    def record_saturation(self) -> None:
        """Record that the limit, and not the demand, bounded the concurrency."""
        self._saturated = True

    def record_completion(
        self,
        now_ms: float,
        latency_ms: float,
        outcome: Outcome,
        *,
        route: str = "",
        nested_ms: float = 0.0,
    ) -> None:
        """Adjust the limit to the end of one dispatch.

        ``nested_ms`` is the part of ``latency_ms`` during which at least one nested
        call was outstanding. It is subtracted, so that a slow service further down
        does not lower the limits of all the services above it.
        """
        if outcome is Outcome.REFUSED:
            self._on_refusal()
        elif outcome in (Outcome.OK, Outcome.TIMED_OUT):
            own_ms = max(MIN_OWN_MS, latency_ms - nested_ms)
            self._record_latency(route, own_ms, latency_ms)

    def _on_refusal(self) -> None:
        # Dispatches that were started under the old limit may be refused for the same
        # reason: the limit is lowered once for all of them.
        if self._samples_to_skip == 0:
            self._lower(REFUSAL_FACTOR)
            self._trial_start = None

    def _record_latency(self, route: str, own_ms: float, hold_ms: float) -> None:
        self._mean_hold_ms += HOLD_WEIGHT * (hold_ms - self._mean_hold_ms)
        latency = self._latencies.get(route)
        if latency is None:
            latency = self._latencies[route] = RouteLatency(hold_ms)
        baseline_ms = latency.baseline_ms
        latency.record(own_ms, hold_ms, self._policy.latency_tolerance)
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
        if self._trial_start is not None:
            self._end_trial(ratio)
        elif ratio <= self._policy.latency_tolerance:
            self._failed_trials = 0
            self._pause_windows = 0
            self._raise()
        elif self._pause_windows > 0:
            self._pause_windows -= 1
            self._raise()
        elif saturated and self.value > self._policy.min_limit:
            self._trial_start = (self._limit, ratio)
            self._lower(TRIAL_FACTOR)

    def _end_trial(self, ratio: float) -> None:
        assert self._trial_start is not None
        limit_before, ratio_before = self._trial_start
        self._trial_start = None
        if ratio <= ratio_before * TRIAL_SUCCESS_RATIO:
            self._failed_trials = 0
            return
        self._limit = limit_before
        self._pause_windows = FIRST_PAUSE_WINDOWS << self._failed_trials
        self._failed_trials += 1
        if self._failed_trials >= FAILED_TRIALS_TO_REBASELINE:
            self._failed_trials = 0
            self._rebaseline(ratio)

    def _rebaseline(self, ratio: float) -> None:
        """Set the baselines to the present latency; concurrency didn't cause it."""
        for latency in self._latencies.values():
            if latency.baseline_ms is not None:
                latency.baseline_ms *= ratio

    def _raise(self) -> None:
        self._limit = min(self._slots, self._limit + max(1.0, self._limit**0.5))

    def _lower(self, factor: float) -> None:
        # Calls that are in flight now started under the old limit. Their latencies
        # say nothing about the new one.
        self._samples_to_skip = self.value
        self._limit = max(self._policy.min_limit, self._limit * factor)
        self._clear_window()

    def _clear_window(self) -> None:
        self._observed_ms = 0.0
        self._expected_ms = 0.0
        self._samples = 0
        self._saturated = False
