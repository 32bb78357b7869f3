from hypothesis import given, strategies as st

from jacinthshed.internal.flow.nested_time import NestedTime

SPANS = st.lists(
    st.tuples(st.integers(0, 50), st.integers(1, 20)).map(lambda s: (s[0], sum(s)))
)


@given(spans=SPANS)
def test_parallel_calls_count_once(spans):
    nested = NestedTime()
    events = [(start, 1, NestedTime.call_started) for start, _ in spans]
    events += [(end, 0, NestedTime.call_ended) for _, end in spans]
    # At one instant the ends come first; a zero gap changes no total.
    for at_ms, _, note in sorted(events, key=lambda event: event[:2]):
        note(nested, float(at_ms), "r")
    covered = {ms for start, end in spans for ms in range(start, end)}
    assert nested.pop_total_ms(100.0, "r") == len(covered)
    assert nested.pop_total_ms(100.0, "r") == 0.0


def test_a_call_that_is_still_out_counts_up_to_now():
    nested = NestedTime()
    nested.call_started(10.0, "r")
    assert nested.pop_total_ms(25.0, "r") == 15.0
    nested.call_ended(30.0, "r")
    assert nested.pop_total_ms(40.0, "r") == 0.0
