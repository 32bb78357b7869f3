"""Latency of one route at one target."""

BATCH_SAMPLES = 16
FALL_WEIGHT = 0.3
RISE_WEIGHT = 0.01
HOLD_WEIGHT = 0.1


class RouteLatency:
    """Baseline of the backend server's own time, and the whole time a slot is held.

    The baseline follows the mean of short batches: quickly down and very slowly up, so
    that it stays near the latency of an unloaded server. A batch beyond the tolerance
    doesn't raise it at all: the limit's trials compare latencies with the baseline, and
    one that follows the slowness would make every trial look like a success. It is
    kept for each route, as otherwise a shift in the mix of routes would look like a
    change in load. It is None until the first batch is complete.
    """

    def __init__(self, first_hold_ms: float) -> None:
        self.baseline_ms: float | None = None
        self.hold_ms = first_hold_ms
        self._batch_ms = 0.0
        self._batch_samples = 0

    def note(self, own_ms: float, hold_ms: float, tolerance: float) -> None:
        """Take in one answer: the server's own time and the time of the whole call."""
        self.hold_ms += HOLD_WEIGHT * (hold_ms - self.hold_ms)
        self._batch_ms += own_ms
        self._batch_samples += 1
        if self._batch_samples >= BATCH_SAMPLES:
            self._close_batch(tolerance)

    def _close_batch(self, tolerance: float) -> None:
        mean_ms = self._batch_ms / self._batch_samples
        if self.baseline_ms is None:
            self.baseline_ms = mean_ms
        elif mean_ms <= tolerance * self.baseline_ms:
            weight = FALL_WEIGHT if mean_ms < self.baseline_ms else RISE_WEIGHT
            self.baseline_ms += weight * (mean_ms - self.baseline_ms)
        self._batch_ms = 0.0
        self._batch_samples = 0
