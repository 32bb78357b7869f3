"""Latency of one route at one target."""

BATCH_SAMPLES = 16
FALL_WEIGHT = 0.3
RISE_WEIGHT = 0.01
HOLD_WEIGHT = 0.1


class RouteLatency:
    """Baseline of the server's own time, and the mean time that a call holds a slot.

    ``baseline_ms`` follows the mean of batches of ``BATCH_SAMPLES`` calls: quickly
    down and very slowly up, so that it stays near the latency of an unloaded server.
    It is None until the first batch is complete. A batch above the tolerance doesn't
    raise it: the trials of the limit compare latencies with the baseline, and a
    baseline that followed a slow server would make every trial look like a success.
    There is one baseline per route, as otherwise a shift in the mix of routes would
    look like a change in load.

    ``hold_ms`` is a moving average of the whole call, nested calls included.
    """

    def __init__(self, first_hold_ms: float) -> None:
        self.baseline_ms: float | None = None
        self.hold_ms = first_hold_ms
        self._batch_ms = 0.0
        self._batch_samples = 0

    def record(self, own_ms: float, hold_ms: float, tolerance: float) -> None:
        """Add one call: the server's own time and the time that the slot was held.

        ``tolerance`` is the ratio to the baseline above which a batch is ignored.
        """
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
