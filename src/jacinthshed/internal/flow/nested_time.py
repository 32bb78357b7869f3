"""Time that running requests spend waiting for nested calls."""


class _NestedSpan:
    """Outstanding nested calls of one request, and the time with at least one.

    ``since_ms`` is the start of the current period with an outstanding call.
    """

    __slots__ = ("outstanding", "since_ms", "total_ms")

    def __init__(self) -> None:
        self.outstanding = 0
        self.since_ms = 0.0
        self.total_ms = 0.0


class NestedTime:
    """Sums, for each request, the time during which a nested call was outstanding.

    Parallel calls count once, as the sum of their times may exceed the request's own.
    """

    def __init__(self) -> None:
        self._spans: dict[str, _NestedSpan] = {}

    def call_started(self, now_ms: float, request_id: str) -> None:
        """Record that the request sent a nested call."""
        span = self._spans.setdefault(request_id, _NestedSpan())
        if not span.outstanding:
            span.since_ms = now_ms
        span.outstanding += 1

    def call_ended(self, now_ms: float, request_id: str) -> None:
        """Record the end of a nested call; ignored when the request has ended."""
        span = self._spans.get(request_id)
        if span is None:
            return
        span.outstanding -= 1
        if not span.outstanding:
            span.total_ms += now_ms - span.since_ms

    def pop_total_ms(self, now_ms: float, request_id: str) -> float:
        """Remove the request and return its total, in milliseconds."""
        span = self._spans.pop(request_id, None)
        if span is None:
            return 0.0
        running_ms = now_ms - span.since_ms if span.outstanding else 0.0
        return span.total_ms + running_ms
