"""Resends are limited in proportion to fresh requests, per caller and per node."""

from hypothesis import given, settings, strategies as st

from jacinthshed.internal.bundle.model import RetryPolicy
from jacinthshed.internal.retry import ResendLimiter
from jacinthshed.internal.retry.resend_limiter import NODE_BURST_FACTOR
from jacinthshed.internal.retry.token_bucket import TRICKLE_TOKENS_PER_MS

RATIO = 0.25
BURST = 3
callers = st.sampled_from(["kiosk", "desk", "bench"])
events = st.lists(
    st.tuples(st.booleans(), callers, st.sampled_from([0.0, 1.0, 5_000.0])),
    max_size=200,
)


@settings(max_examples=100)
@given(events=events)
def test_resends_are_bounded_per_caller(events):
    limiter = ResendLimiter(policy=RetryPolicy(ratio=RATIO, burst=BURST))
    fresh = dict.fromkeys(["kiosk", "desk", "bench"], 0)
    resent = dict(fresh)
    now_ms = 0.0
    for is_fresh, caller, elapsed_ms in events:
        now_ms += elapsed_ms
        if is_fresh:
            limiter.record_fresh(caller)
            fresh[caller] += 1
        elif limiter.try_resend(caller, now_ms):
            resent[caller] += 1
        bound = RATIO * fresh[caller] + BURST + TRICKLE_TOKENS_PER_MS * now_ms
        assert resent[caller] <= bound + 1e-6


def test_callers_that_change_their_names_are_limited_by_the_bucket_of_the_node():
    limiter = ResendLimiter(policy=RetryPolicy(ratio=RATIO, burst=BURST), max_callers=8)
    resent = sum(limiter.try_resend(f"caller{n}", 0.0) for n in range(1_000))
    assert resent == BURST * NODE_BURST_FACTOR
    assert len(limiter._callers) == 8
