"""The test of ``tests/cover/test_fleet_faults.py`` with more and longer schedules."""

from hypothesis import given, settings, strategies as st

from tests.common.fault_schedule import steps
from tests.cover.test_fleet_faults import HOSTS, check


@settings(max_examples=3_000)
@given(schedule=st.lists(steps(HOSTS), min_size=10, max_size=60))
def test_no_key_runs_twice_and_not_run_is_true(schedule):
    check(schedule)
