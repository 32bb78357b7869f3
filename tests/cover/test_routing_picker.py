"""The choice of a target by load, availability zone and age."""

from collections import Counter
from random import Random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from jacinthshed.internal.bundle.model import RoutingPolicy
from jacinthshed.internal.routing.picker import Picker

from ..common.members import SERVICE, ZONES, fleet_records, member

FLEET = fleet_records(6)
hosts = st.sampled_from([record.host for record in FLEET])
spans_ms = st.sampled_from([1.0, 500.0, 20_000.0])


def new_picker(members=(), seed=1):
    picker = Picker(
        host="host-self",
        availability_zone=ZONES[0],
        policy=RoutingPolicy(),
        random=Random(seed),
    )
    picker.set_members(0.0, SERVICE, members)
    return picker


class PickerMachine(RuleBasedStateMachine):
    """The oracle is the set of live hosts that were set and not removed."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.live = set()
        self.picker = new_picker()

    @rule(live=st.sets(hosts), leaving=st.sets(hosts), incarnation=st.integers(1, 2))
    def set_members(self, live, leaving, incarnation):
        self.live = live - leaving
        records = [
            record._replace(
                incarnation=incarnation,
                state="leaving" if record.host in leaving else "live",
            )
            for record in FLEET
            if record.host in live | leaving
        ]
        self.picker.set_members(self.now_ms, SERVICE, records)

    @rule(host=hosts)
    def leave(self, host):
        self.live.discard(host)
        self.picker.remove(self.now_ms, SERVICE, host)

    @rule(ms=spans_ms)
    def wait(self, ms):
        self.now_ms += ms

    @rule(host=hosts, load=st.floats(0, 3))
    def reply(self, host, load):
        self.picker.record_reply(self.now_ms, host, load)

    @rule(host=hosts, ms=spans_ms)
    def refuse(self, host, ms):
        self.picker.refused(self.now_ms, host, ms)

    @rule(host=hosts)
    def unreachable(self, host):
        self.picker.unreachable(self.now_ms, host)

    @rule(load=st.floats(-1, 9))
    def hint_at_everyone(self, load):
        for record in FLEET:
            self.picker.set_load_hint(record.host, load)

    @rule(exclude=st.frozensets(hosts), ends=st.booleans())
    def pick(self, exclude, ends):
        pick = self.picker.pick(self.now_ms, SERVICE, exclude)
        usable = self.live - exclude
        assert (pick is not None) == bool(usable)
        if pick is not None:
            assert {pick.host, *pick.candidates} <= usable
            self.picker.sent(pick.host)
            if ends:
                self.picker.done(pick.host)


TestPickerMachine = PickerMachine.TestCase
TestPickerMachine.settings = settings(max_examples=100, stateful_step_count=40)


def local_members(count):
    return [member(f"host-{number}") for number in range(count)]


def remote_members(count):
    return [
        member(f"far-{number}", availability_zone=ZONES[1]) for number in range(count)
    ]


def pick_many(picker, count, now_ms=0.0):
    return Counter(picker.pick(now_ms, SERVICE).host for _ in range(count))


@pytest.mark.parametrize("seed", range(5))
def test_requests_in_flight_spread_evenly_while_loads_are_stale(seed):
    targets, fair = 100, 4
    picker = new_picker(local_members(targets), seed)
    in_flight = Counter()
    for _ in range(targets * fair):
        host = picker.pick(0.0, SERVICE).host
        picker.sent(host)
        in_flight[host] += 1
    assert max(in_flight.values()) <= 2 * fair


def test_a_target_loaded_by_other_callers_gets_less_work():
    picker = new_picker(local_members(4))
    for number, load in enumerate([0.8, 0.2, 0.2, 0.2]):
        picker.record_reply(0.0, f"host-{number}", load)
    assert pick_many(picker, 1_000)["host-0"] == 0


def test_work_stays_in_the_zone_until_its_targets_lack_headroom():
    picker = new_picker(local_members(3) + remote_members(3))
    for number in range(3):
        picker.record_reply(0.0, f"host-{number}", 0.85)
    assert all(host.startswith("host") for host in pick_many(picker, 100))
    for number in range(3):
        picker.record_reply(0.0, f"host-{number}", 0.95)
    assert all(host.startswith("far") for host in pick_many(picker, 100))
    for number in range(3):
        picker.record_reply(0.0, f"far-{number}", 0.95)
    assert all(host.startswith("host") for host in pick_many(picker, 100))


def test_a_refusal_and_its_load_expire():
    picker = new_picker(local_members(2) + remote_members(2))
    for number in range(2):
        picker.refused(0.0, f"host-{number}", 100.0)
    assert all(host.startswith("far") for host in pick_many(picker, 50))
    picks = pick_many(picker, 50, now_ms=1_000.0)
    assert all(host.startswith("host") for host in picks)


@pytest.mark.parametrize("count", [2, 3, 10])
def test_a_new_target_starts_slowly(count):
    members = local_members(count)
    picker = new_picker(members[1:])
    picker.set_members(60_000.0, SERVICE, members)
    fair = 2_000 / count
    shares = []
    for age_ms in (1.0, 5_000.0, 10_000.0):
        now_ms = 60_000.0 + age_ms
        for record in members[1:]:
            picker.record_reply(now_ms, record.host, 0.5)
        picker.record_reply(now_ms, "host-0", 0.0)
        shares.append(pick_many(picker, 2_000, now_ms)["host-0"] / fair)
    assert 0 < shares[0] <= 0.4
    assert shares[0] < shares[1] < shares[2]


def test_new_targets_share_the_work_evenly():
    picker = new_picker(local_members(4))
    picks = pick_many(picker, 4_000, now_ms=5.0)
    assert min(picks.values()) >= 800


def test_targets_that_start_one_after_another_share_the_work_about_evenly():
    picker = new_picker()
    for count in range(1, 5):
        picker.set_members(100.0 * count, SERVICE, local_members(count))
    picks = pick_many(picker, 4_000, now_ms=2_000.0)
    assert max(picks.values()) <= 1.5 * 1_000


def test_when_no_zone_has_headroom_the_lower_load_is_chosen():
    picker = new_picker(local_members(1) + remote_members(1))
    picker.record_reply(0.0, "host-0", 1.4)
    picker.record_reply(0.0, "far-0", 0.95)
    assert pick_many(picker, 100) == {"far-0": 100}
    picker.record_reply(0.0, "far-0", 1.3)
    assert pick_many(picker, 100) == {"host-0": 100}
