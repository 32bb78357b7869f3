from hypothesis import given, strategies as st

from jacinthshed.internal.demo.figures import BUCKET_S, run_figures
from jacinthshed.internal.demo.load import Sample
from jacinthshed.internal.demo.scenario import Phase

PHASES = (Phase("calm", 1.0, 10), Phase("surge", 2.0, 10), Phase("after", 2.0, 10))
BUCKETS = 4


@given(good=st.lists(st.booleans(), min_size=BUCKETS, max_size=BUCKETS))
def test_recovery_ends_with_the_last_bad_bucket(good):
    samples = [
        Sample("lookup", "after", 3.0 + (number + 0.5) * BUCKET_S, answered)
        for number, answered in enumerate(good)
        for _ in range(10)
    ]
    recovery_s = run_figures(samples, PHASES).recovery_s
    bad = [number + 1 for number, answered in enumerate(good) if not answered]
    if bad and bad[-1] == BUCKETS:
        assert recovery_s is None
    else:
        assert recovery_s == max(bad, default=0) * BUCKET_S


def test_goodput_counts_the_surge_only():
    samples = [
        Sample("lookup", "calm", 0.5, True),
        Sample("lookup", "surge", 1.5, True),
        Sample("lookup", "surge", 1.6, False),
        Sample("booking", "surge", 1.7, True),
    ]
    booking, lookup = run_figures(samples, PHASES).routes
    assert (booking.sent, booking.answered, booking.answered_per_s) == (1, 1, 0.5)
    assert (lookup.sent, lookup.answered, lookup.answered_per_s) == (2, 1, 0.5)
