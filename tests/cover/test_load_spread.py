"""The gauge of the spread of load, and its export with a service in its name."""

import pytest
import trio

from jacinthshed.internal.routing.load_spread import (
    ESTIMATE_TTL_MS,
    EVEN,
    MAX_SERVICES,
    known_loads,
    load_spread,
    load_spreads,
)
from jacinthshed.internal.routing.preview import preview
from jacinthshed.internal.routing.target import LOAD_TTL_MS
from jacinthshed.internal.telemetry.metrics import Metrics
from tests.common.fleet import run_virtual, running_fleet
from tests.common.members import SERVICE, member
from tests.common.metrics import page_samples, sent_gauges
from tests.common.pickers import (
    PICKER_NOW_MS,
    loaded_picker,
    picker_state,
    varied_picker,
)
from tests.common.policies import single_bundle, single_layout

NAME = "routing.load_spread"
with_each_choice = pytest.mark.parametrize("by_room", [False, True])


def spread_of(picker, now_ms=PICKER_NOW_MS):
    return load_spreads(picker, now_ms)[SERVICE]


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        ([0.5, 0.5, 0.5], EVEN),
        ([0.9, 0.3, 0.3, 0.3], 2.0),
        ([1.0, 0.0, 0.0, 0.0], 4.0),
        ([0.0, 0.0], EVEN),
        ([0.7], EVEN),
        ([0.0], EVEN),
        ([], EVEN),
    ],
)
def test_the_spread_is_the_highest_load_over_the_mean(loads, expected):
    """Guards against a division by 0, and against one target that looks uneven."""
    assert load_spread(loads) == pytest.approx(expected)


@with_each_choice
def test_targets_of_all_zones_count(by_room):
    """Guards against a busy zone that isn't seen beside an even one."""
    picker = loaded_picker([0.3, 0.3, 0.3], [0.9], by_room=by_room)
    assert spread_of(picker) == pytest.approx(2.0)


@with_each_choice
def test_loads_that_the_choice_assumes_do_not_count(by_room):
    """A target that never replied counts as half loaded, five times the others."""
    picker = loaded_picker([0.1, 0.1, None], [None, None], by_room=by_room)
    assert spread_of(picker) == pytest.approx(EVEN)
    idle = loaded_picker([None, None, None], by_room=by_room)
    assert spread_of(idle) == EVEN


@pytest.mark.parametrize(
    ("by_room", "ttl_ms"), [(False, LOAD_TTL_MS), (True, ESTIMATE_TTL_MS)]
)
def test_loads_that_the_choice_no_longer_knows_do_not_count(by_room, ttl_ms):
    """Guards against an alarm from a zone that was last called in an overload."""
    picker = loaded_picker([0.1, 0.1], [1.0, 1.0], age_ms=ttl_ms - 1, by_room=by_room)
    assert spread_of(picker) > 1.5
    later_ms = PICKER_NOW_MS + 1
    for host in ("host-0", "host-1"):
        picker.record_reply(later_ms, host, 0.1)
    assert spread_of(picker, later_ms) == pytest.approx(EVEN)


def test_estimates_include_requests_sent_since_the_last_reply():
    """Guards against a gauge that only follows replies, unlike the choice by room."""
    picker = loaded_picker([0.4, 0.4], by_room=True)
    for _ in range(4):
        picker.sent("host-0")
    assert spread_of(picker) == pytest.approx(0.8 / 0.6)


@with_each_choice
def test_a_target_that_has_just_refused_counts_as_full(by_room):
    """Guards against leaving out the busiest target, as none is sent there now."""
    picker = loaded_picker([0.5, 0.5, 0.5], by_room=by_room)
    picker.refused(PICKER_NOW_MS, "host-2", 300.0)
    assert spread_of(picker, PICKER_NOW_MS + 100) == pytest.approx(1.5, abs=0.01)


@with_each_choice
def test_a_long_avoidance_does_not_keep_an_assumed_load(by_room):
    """An avoided target counts as half loaded after a second, five times the others."""
    picker = loaded_picker([0.1, 0.1, 0.1], by_room=by_room)
    picker.refused(PICKER_NOW_MS, "host-2", 5_000.0)
    later_ms = PICKER_NOW_MS + 2_000
    for host in ("host-0", "host-1"):
        picker.record_reply(later_ms, host, 0.1)
    assert spread_of(picker, later_ms) == pytest.approx(EVEN)


@pytest.mark.parametrize("seed", range(40))
@with_each_choice
def test_the_loads_are_those_of_the_choice(seed, by_room):
    """Guards against a gauge that estimates loads by other rules than the choice."""
    picker = varied_picker(seed)
    if by_room:
        for number in range(0, 9, 2):
            picker.record_reply(PICKER_NOW_MS - 100, f"host-{number}", 0.4, 120)
    before = picker_state(picker)
    loads = known_loads(picker, PICKER_NOW_MS, SERVICE)
    load_spreads(picker, PICKER_NOW_MS)
    assert picker_state(picker) == before

    def is_known(candidate):
        is_estimated = by_room and not candidate.avoid_ms
        ttl_ms = ESTIMATE_TTL_MS if is_estimated else LOAD_TTL_MS
        return candidate.load_age_ms < ttl_ms

    candidates = preview(picker, PICKER_NOW_MS, SERVICE).candidates
    assert loads == [c.load for c in candidates if is_known(c)]


def test_only_services_with_targets_have_a_series():
    """Guards against series of services that are gone, and of entry-only nodes."""
    picker = loaded_picker([0.5, 0.5])
    picker.set_members(0.0, "gone", [member("gone-0", service="gone")])
    picker.set_members(0.0, "", [member("entry-0", service="")])
    assert load_spreads(picker, PICKER_NOW_MS).keys() == {SERVICE, "gone"}
    picker.set_members(0.0, "gone", [])
    assert load_spreads(picker, PICKER_NOW_MS).keys() == {SERVICE}
    assert known_loads(picker, PICKER_NOW_MS, "never-seen") == []


def test_the_number_of_series_is_bounded():
    """Guards against a store whose entries name any number of services."""
    picker = loaded_picker([0.5])
    for number in range(MAX_SERVICES + 20):
        name = f"odd-{number}"
        picker.set_members(0.0, name, [member(f"host-{name}", service=name)])
    assert len(load_spreads(picker, PICKER_NOW_MS)) == MAX_SERVICES


def test_a_running_node_exports_the_spread():
    """Guards against a gauge that is computed and not exported."""

    async def main():
        async with running_fleet(single_layout(2), single_bundle()) as fleet:
            await trio.sleep(1)
            return fleet["orders-0"].node.gauges()

    gauges = run_virtual(main)
    assert gauges[f"{NAME}.orders"] == EVEN
    assert [name for name in gauges if name.startswith(NAME)] == [f"{NAME}.orders"]


def test_the_metrics_page_has_the_service_as_a_label():
    """Guards against one metric name for each service, which can't be queried."""
    samples = page_samples({"members": 3, f"{NAME}.orders": 1.5, f"{NAME}.parts": 1.0})
    spreads = [s for s in samples if s.name == "jacinthshed_routing_load_spread"]
    assert {s.labels["service"]: s.value for s in spreads} == {
        "orders": 1.5,
        "parts": 1.0,
    }
    assert [s.value for s in samples if s.name == "jacinthshed_members"] == [3]


@pytest.mark.parametrize("service", ["v2.orders", 'a"b', "two words", "x\ny", "é"])
def test_the_metrics_page_stands_any_name_of_a_service(service):
    """Guards against a page that no scraper can read: the store names services."""
    samples = page_samples({f"{NAME}.{service}": 1.25, "members": 3})
    assert [s.labels for s in samples if s.value == 1.25] == [{"service": service}]


def test_the_metrics_page_is_unchanged_without_services():
    """Guards against a family without samples."""
    names = {sample.name for sample in page_samples({"members": 3})}
    assert names == {"jacinthshed_members"}


def test_the_gauge_of_a_removed_service_is_no_longer_sent():
    """A gauge was sent with its last value until the process ended."""
    metrics = Metrics()
    metrics.replace_gauges({f"{NAME}.orders": 1.5, "members": 3})
    assert sent_gauges(metrics) == {f"{NAME}.orders": 1.5, "members": 3}
    metrics.replace_gauges({"members": 2})
    assert sent_gauges(metrics) == {"members": 2}


@pytest.mark.parametrize(
    ("service", "sent"), [("a:1|c\nb", "a_1_c_b"), ("bücher", "b_cher"), ("a-b", "a-b")]
)
def test_names_sent_to_statsd_have_no_special_characters(service, sent):
    """Guards against a name that is read as a value, and one that ends the node."""
    metrics = Metrics()
    metrics.replace_gauges({f"{NAME}.{service}": 1.5})
    assert sent_gauges(metrics) == {f"{NAME}.{sent}": 1.5}
