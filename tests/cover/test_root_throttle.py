"""Root requests of routes that fail in nested calls are throttled for a short time."""

from hypothesis import given, strategies as st

from jacinthshed.internal.admission.root_throttle import MIN_SHARE, RootThrottle

LARGEST_FRACTION = 0.999_999


def throttle_after(outcomes, calls_done=1):
    throttle = RootThrottle()
    for failed in outcomes:
        throttle.record("root", failed=failed, calls_done=calls_done)
    return throttle


def test_a_route_whose_roots_all_fail_admits_only_the_minimum_share():
    throttle = throttle_after([True] * 20)
    assert throttle.share("root") == MIN_SHARE
    assert throttle.refusal_wait_ms("root", MIN_SHARE / 2) is None
    assert throttle.refusal_wait_ms("root", LARGEST_FRACTION) > 0
    assert throttle.refusal_wait_ms("other", LARGEST_FRACTION) is None


def test_three_successes_restore_the_full_share():
    assert throttle_after([True] * 50 + [False] * 3).share("root") == 1.0


def test_a_route_without_calls_is_never_throttled():
    assert (
        throttle_after([True] * 50, calls_done=0).refusal_wait_ms(
            "root", LARGEST_FRACTION
        )
        is None
    )


@given(st.lists(st.booleans(), max_size=60))
def test_the_share_stays_in_its_bounds(outcomes):
    assert MIN_SHARE <= throttle_after(outcomes).share("root") <= 1.0


def test_a_route_with_a_third_of_successes_is_hardly_throttled():
    throttle = RootThrottle()
    shares = []
    for number in range(300):
        throttle.record("root", failed=number % 3 != 0, calls_done=2)
        shares.append(throttle.share("root"))
    assert min(shares[10:]) > 0.7
