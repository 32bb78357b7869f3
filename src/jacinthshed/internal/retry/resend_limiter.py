"""Limits the resends of callers that ignore ``Retry-After``."""

from collections import OrderedDict

from ..bundle.model import RetryPolicy
from .token_bucket import TokenBucket

MAX_CALLERS = 4_096
NODE_BURST_FACTOR = 10


class ResendLimiter:
    """Token buckets per caller and node: requests add tokens, resends take them.

    In any period, the resends let through are at most ``ratio`` times the fresh
    requests, plus ``burst`` and a slow refill with time. The refill lets a caller with
    few requests still resend one. The node's bucket limits callers that change their
    names.
    """

    def __init__(self, *, policy: RetryPolicy, max_callers: int = MAX_CALLERS) -> None:
        self._policy = policy
        self._max_callers = max_callers
        self._node = TokenBucket(burst=policy.burst * NODE_BURST_FACTOR)
        self._callers: OrderedDict[str, TokenBucket] = OrderedDict()

    def set_policy(self, policy: RetryPolicy) -> None:
        """Apply the policy of a new bundle; if it changed, all buckets restart full."""
        if policy == self._policy:
            return
        self._policy = policy
        self._node = TokenBucket(burst=policy.burst * NODE_BURST_FACTOR)
        self._callers.clear()

    def record_fresh(self, caller: str) -> None:
        """Count a request that is not a resend."""
        self._node.add(self._policy.ratio)
        self._bucket_of(caller).add(self._policy.ratio)

    def try_resend(self, caller: str, now_ms: float) -> bool:
        """Take a token for a resend; return ``False`` if the resend must be refused."""
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
