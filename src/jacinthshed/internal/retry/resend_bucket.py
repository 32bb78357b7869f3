"""Bounds the resends of callers that don't heed ``Retry-After``."""

from collections import OrderedDict

from ..bundle.model import RetryPolicy

MAX_CALLERS = 4_096
NODE_BURST_FACTOR = 10
TRICKLE_PER_MS = 0.0001


class _Bucket:
    """Tokens of one caller or of the node; each resend takes one."""

    __slots__ = ("burst", "refilled_ms", "tokens")

    def __init__(self, burst: float) -> None:
        self.burst = burst
        self.tokens = burst
        self.refilled_ms: float | None = None

    def add(self, tokens: float) -> None:
        self.tokens = min(self.burst, self.tokens + tokens)

    def refill(self, now_ms: float) -> None:
        if self.refilled_ms is not None:
            self.add((now_ms - self.refilled_ms) * TRICKLE_PER_MS)
        self.refilled_ms = now_ms


class ResendBucket:
    """Token buckets that are filled by fresh requests and emptied by resends.

    Over any span, the resends let through are at most the policy's ``ratio`` of the
    fresh requests plus ``burst`` and a slow trickle, which lets a caller that sends
    little still resend a single request. The bucket of the whole node holds callers
    that change their names.
    """

    def __init__(self, *, policy: RetryPolicy, max_callers: int = MAX_CALLERS) -> None:
        self._policy = policy
        self._max_callers = max_callers
        self._node = _Bucket(policy.burst * NODE_BURST_FACTOR)
        self._callers: OrderedDict[str, _Bucket] = OrderedDict()

    def fresh(self, caller: str) -> None:
        """Count a request that was not sent before."""
        self._node.add(self._policy.ratio)
        self._bucket_of(caller).add(self._policy.ratio)

    def try_resend(self, caller: str, now_ms: float) -> bool:
        """Take a token for a resend; False when it has to be refused."""
        bucket = self._bucket_of(caller)
        bucket.refill(now_ms)
        self._node.refill(now_ms)
        if bucket.tokens < 1 or self._node.tokens < 1:
            return False
        bucket.tokens -= 1
        self._node.tokens -= 1
        return True

    def _bucket_of(self, caller: str) -> _Bucket:
        bucket = self._callers.get(caller)
        if bucket is None:
            bucket = self._callers[caller] = _Bucket(self._policy.burst)
            if len(self._callers) > self._max_callers:
                self._callers.popitem(last=False)
        self._callers.move_to_end(caller)
        return bucket
