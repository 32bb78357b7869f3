"""The time in nested calls is the union of the calls' periods, not their sum."""

from hypothesis import given, strategies as st

from jacinthshed.internal.flow.nested_time import NestedTime

PERIODS = st.lists(
    st.tuples(st.integers(0, 50), st.integers(1, 20)).map(
        lambda period: (period[0], sum(period))
    )
)


@given(periods=PERIODS)
def test_parallel_calls_count_once(periods):
    nested = NestedTime()
    events = [(start, 1, NestedTime.call_started) for start, _ in periods]
    events += [(end, 0, NestedTime.call_ended) for _, end in periods]
    # Events at the same time: ends come first, as a gap of 0 ms adds nothing.
    for at_ms, _, record_event in sorted(events, key=lambda event: event[:2]):
        record_event(nested, float(at_ms), "r")
    covered = {ms for start, end in periods for ms in range(start, end)}
    assert nested.pop_total_ms(100.0, "r") == len(covered)
    assert nested.pop_total_ms(100.0, "r") == 0.0


def test_an_outstanding_call_counts_up_to_now():
    nested = NestedTime()
    nested.call_started(10.0, "r")
    assert nested.pop_total_ms(25.0, "r") == 15.0
    nested.call_ended(30.0, "r")
    assert nested.pop_total_ms(40.0, "r") == 0.0
