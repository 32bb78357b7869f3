"""Time that running requests spend in calls below them."""


class _Span:
    """Outstanding calls of one request, and the time with at least one of them."""

    __slots__ = ("outstanding", "since_ms", "total_ms")

    def __init__(self) -> None:
        self.outstanding = 0
        self.since_ms = 0.0
        self.total_ms = 0.0


class NestedTime:
    """Adds up, for each request, the time in which a nested call was outstanding.

    Calls in parallel count once: the sum of their times may exceed the request's own.
    """

    def __init__(self) -> None:
        self._spans: dict[str, _Span] = {}

    def call_started(self, now_ms: float, request_id: str) -> None:
        """Note that a call of the request was sent."""
        span = self._spans.setdefault(request_id, _Span())
        if not span.outstanding:
            span.since_ms = now_ms
        span.outstanding += 1

    def call_ended(self, now_ms: float, request_id: str) -> None:
        """Note that a call of the request has ended; late news is dropped."""
        span = self._spans.get(request_id)
        if span is None:
            return
        span.outstanding -= 1
        if not span.outstanding:
            span.total_ms += now_ms - span.since_ms

    def pop_total_ms(self, now_ms: float, request_id: str) -> float:
        """Forget the request and return its total, in milliseconds."""
        span = self._spans.pop(request_id, None)
        if span is None:
            return 0.0
        running_ms = now_ms - span.since_ms if span.outstanding else 0.0
        return span.total_ms + running_ms
