"""Merging of views: a host is routable above its highest departed incarnation."""

import pytest
from hypothesis import given, strategies as st

from jacinthshed.internal.membership.view import GONE_LIFETIME_MS, View
from jacinthshed.internal.wire.frames import Leaving

from ..common.members import SERVICE, fleet_records, listed, member

HOSTS = ("host-a", "host-b")
records = st.builds(
    member,
    host=st.sampled_from(HOSTS),
    incarnation=st.integers(1, 3),
    state=st.sampled_from(["live", "leaving", "gone"]),
    revision=st.integers(0, 3),
    peer_address=st.sampled_from(["10.0.0.1:7400", "10.0.0.2:7400"]),
)


def view_of(received):
    view = View(self_record=member("host-self", service="other"))
    for record in received:
        view.merge(0.0, [record])
    return view


def left_incarnation(received, host):
    return max(
        (r.incarnation for r in received if r.host == host and r.state != "live"),
        default=0,
    )


@given(st.lists(records))
def test_a_delayed_record_does_not_undo_a_departure(received):
    view = view_of(received)
    for host in HOSTS:
        live = {r.incarnation for r in received if r.host == host and r.state == "live"}
        expected = max(live, default=0) > left_incarnation(received, host)
        assert view.is_routable(host) == expected
        assert (host in {r.host for r in view.members(SERVICE)}) == expected


@given(st.lists(records), st.randoms(use_true_random=False))
def test_order_and_repetition_of_records_do_not_matter(received, random):
    again = received + random.choices(received, k=3) if received else []
    random.shuffle(again)
    assert view_of(received).digest == view_of(again).digest
    assert sorted(view_of(received).records()) == sorted(view_of(again).records())


@given(st.lists(records))
def test_each_departed_incarnation_is_recorded(received):
    view = view_of(received)
    departed = {r.host: r.incarnation for r in view.departed(SERVICE, 1_000, 500)}
    for host in HOSTS:
        record = view.get(host)
        if record and record.state != "live":
            assert departed[host] == record.incarnation
    assert view.departed(SERVICE, 1_000, 2_000) == ()


def test_a_leaving_notice_applies_to_its_incarnation_only():
    view = view_of([member("host-a")])
    view.apply_leaving(1.0, Leaving("host-a", 1))
    view.merge(2.0, [member("host-a", revision=9)])
    assert not view.is_routable("host-a")
    view.merge(3.0, [member("host-a", incarnation=2)])
    assert view.is_routable("host-a")


def test_a_leaving_notice_of_an_unknown_host_applies_to_its_later_record():
    view = view_of([])
    view.apply_leaving(1.0, Leaving("host-a", 1))
    view.merge(2.0, [member("host-a")])
    assert not view.is_routable("host-a")


def test_a_false_record_about_the_own_host_is_refuted_or_reported():
    view = View(self_record=member("host-self"))
    false = member("host-self", peer_address="10.9.9.9:7400")
    assert view.merge(0.0, [false])[-1].revision == 1
    assert view.get("host-self").peer_address == "10.0.0.1:7400"
    assert view.outranked_by is None
    gone = member("host-self", state="gone")
    view.merge(0.0, [gone])
    assert view.outranked_by == gone
    with pytest.raises(ValueError, match="pass at least 2"):
        view.renew(0.0, 1)
    view.renew(0.0, 2)
    assert view.is_routable("host-self")
    assert view.outranked_by is None


@pytest.mark.parametrize("is_known_before", [True, False])
def test_a_leaving_node_ends_an_earlier_process_with_a_higher_incarnation(
    is_known_before,
):
    view = View(self_record=member("host-self", incarnation=1))
    earlier = member("host-self", incarnation=5)
    if is_known_before:
        view.merge(0.0, [earlier])
        announced = [view.leave(1.0)]
    else:
        view.leave(0.0)
        announced = view.merge(1.0, [earlier])
    peer = view_of([earlier])
    peer.merge(2.0, announced)
    assert not peer.is_routable("host-self")
    elsewhere = earlier._replace(incarnation=6, peer_address="10.0.0.9:7400")
    assert view.merge(3.0, [elsewhere]) == [elsewhere]


@given(leaving=st.sets(st.integers(0, 5)), missing=st.sets(st.integers(0, 5)))
def test_a_list_empties_no_service_and_revives_no_host(leaving, missing):
    fleet = fleet_records(6)
    view = view_of(fleet)
    view.apply_leaving(0.0, Leaving("host-0", 1))
    entries = [listed(r, n in leaving) for n, r in enumerate(fleet)]
    changes = view.apply_host_list(
        0.0, [e for n, e in enumerate(entries) if n not in missing]
    )
    members = {r.host for r in view.members(SERVICE)}
    assert "host-0" not in members
    assert len(members) >= 3
    hinted = {f"host-{n}" for n in leaving - missing - {0}}
    assert {notice.host for notice in changes.notices} == hinted
    if len(hinted) <= 2:
        assert not members & hinted


def test_a_stale_hint_does_not_apply_to_the_next_incarnation():
    fleet = fleet_records(4)
    view = view_of(fleet)
    stale = [listed(record, leaving=record.host == "host-1") for record in fleet]
    view.apply_host_list(0.0, stale)
    assert "host-1" not in {r.host for r in view.members(SERVICE)}
    view.merge(0.0, [fleet[1]._replace(incarnation=2)])
    assert "host-1" in {r.host for r in view.members(SERVICE)}
    assert view.apply_host_list(1.0, stale).notices == ()


def test_records_of_gone_hosts_expire():
    view = view_of([member("host-a"), member("host-a", state="gone")])
    view.expire(GONE_LIFETIME_MS - 1)
    assert view.get("host-a") is not None
    view.expire(GONE_LIFETIME_MS)
    assert view.get("host-a") is None
    assert view.departed(SERVICE, 2 * GONE_LIFETIME_MS, GONE_LIFETIME_MS) == ()


def test_a_service_is_kept_when_its_last_member_leaves():
    view = view_of([member("host-a")])
    assert SERVICE in view.services()
    view.apply_leaving(5.0, Leaving("host-a", 1))
    assert SERVICE in view.services()
    assert view.members(SERVICE) == ()
    assert view.changed_ago_ms(SERVICE, 7.0) == 2.0


def test_a_repeated_hint_does_not_change_the_version():
    fleet = fleet_records(4)
    view = view_of(fleet)
    hint = [listed(record, leaving=record.host == "host-1") for record in fleet]
    before = view.version
    view.apply_host_list(0.0, hint)
    assert view.version > before
    before = view.version
    view.apply_host_list(1.0, hint)
    assert view.version == before
