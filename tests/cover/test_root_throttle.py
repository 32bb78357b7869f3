"""Roots of routes that fail below are held back, and come back quickly."""

from hypothesis import given, strategies as st

from jacinthshed.internal.admission.root_throttle import MIN_SHARE, RootThrottle

LAST = 0.999_999


def noted(outcomes, calls_done=1):
    throttle = RootThrottle()
    for failed in outcomes:
        throttle.record("root", failed=failed, calls_done=calls_done)
    return throttle


def test_roots_that_all_fail_pass_at_the_floor_only():
    throttle = noted([True] * 20)
    assert throttle.share("root") == MIN_SHARE
    assert throttle.refusal_wait_ms("root", MIN_SHARE / 2) is None
    assert throttle.refusal_wait_ms("root", LAST) > 0
    assert throttle.refusal_wait_ms("other", LAST) is None


def test_three_successes_open_a_route_again():
    assert noted([True] * 50 + [False] * 3).share("root") == 1.0


def test_a_route_without_calls_is_never_held_back():
    assert noted([True] * 50, calls_done=0).refusal_wait_ms("root", LAST) is None


@given(st.lists(st.booleans(), max_size=60))
def test_the_share_stays_in_its_bounds(outcomes):
    assert MIN_SHARE <= noted(outcomes).share("root") <= 1.0


def test_a_route_of_which_a_third_ends_well_is_hardly_held_back():
    throttle = RootThrottle()
    shares = []
    for number in range(300):
        throttle.record("root", failed=number % 3 != 0, calls_done=2)
        shares.append(throttle.share("root"))
    assert min(shares[10:]) > 0.7
