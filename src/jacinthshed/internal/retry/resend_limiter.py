"""Bounds the resends of callers that don't heed ``Retry-After``."""

from collections import OrderedDict

from ..bundle.model import RetryPolicy
from .token_bucket import TokenBucket

MAX_CALLERS = 4_096
NODE_BURST_FACTOR = 10


class ResendLimiter:
    """Token buckets that are filled by fresh requests and emptied by resends.

    Over any span, the resends let through are at most the policy's ``ratio`` of the
    fresh requests plus ``burst`` and a slow trickle, which lets a caller that sends
    little still resend a single request. The bucket of the whole node holds callers
    that change their names.
    """

    def __init__(self, *, policy: RetryPolicy, max_callers: int = MAX_CALLERS) -> None:
        self._policy = policy
        self._max_callers = max_callers
        self._node = TokenBucket(burst=policy.burst * NODE_BURST_FACTOR)
        self._callers: OrderedDict[str, TokenBucket] = OrderedDict()

    def set_policy(self, policy: RetryPolicy) -> None:
        """Follow a new bundle; the buckets start full."""
        if policy == self._policy:
            return
        self._policy = policy
        self._node = TokenBucket(burst=policy.burst * NODE_BURST_FACTOR)
        self._callers.clear()

    def record_fresh(self, caller: str) -> None:
        """Count a request that was not sent before."""
        self._node.add(self._policy.ratio)
        self._bucket_of(caller).add(self._policy.ratio)

    def try_resend(self, caller: str, now_ms: float) -> bool:
        """Take a token for a resend; False when it has to be refused."""
        bucket = self._bucket_of(caller)
        bucket.refill(now_ms)
        self._node.refill(now_ms)
        if not (bucket.has_token and self._node.has_token):
            return False
        return bucket.take() and self._node.take()

    def _bucket_of(self, caller: str) -> TokenBucket:
        bucket = self._callers.get(caller)
        if bucket is None:
            bucket = self._callers[caller] = TokenBucket(burst=self._policy.burst)
            if len(self._callers) > self._max_callers:
                self._callers.popitem(last=False)
        self._callers.move_to_end(caller)
        return bucket
