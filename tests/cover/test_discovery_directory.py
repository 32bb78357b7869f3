"""The directory of targets under changes in any order."""

from hypothesis import given, settings, strategies as st

from jacinthshed.internal.discovery.directory import Directory
from jacinthshed.internal.discovery.target_entry import EntryChange, TargetEntry


def entry(target_id, service="a", *, number=1, leaving=False, started=1):
    return TargetEntry(
        target_id=target_id,
        service=service,
        host=f"10.0.0.{number}",
        address=f"10.0.0.{number}:4",
        peer_address=f"10.0.0.{number}:3",
        availability_zone="west-a",
        slots=4,
        leaving=leaving,
        warming_ms=0,
        started_wall_ms=started,
    )


CHANGES = st.builds(
    lambda key, number, service, leaving, is_listed: (
        key,
        entry(key, service, number=number, leaving=leaving) if is_listed else None,
    ),
    st.sampled_from("pqr"),
    st.integers(1, 4),
    st.sampled_from("ab"),
    st.booleans(),
    st.booleans(),
)


@settings(max_examples=200)
@given(made=st.lists(CHANGES, max_size=12), random=st.randoms(use_true_random=False))
def test_changes_in_any_order_and_repeated_give_the_same_directory(made, random):
    changes = [EntryChange(key, n, found) for n, (key, found) in enumerate(made, 1)]
    in_order, in_any_order = Directory(), Directory()
    for change in changes:
        in_order.apply(change.revision, [change])
    shuffled = [*changes, *changes]
    random.shuffle(shuffled)
    for change in shuffled:
        in_any_order.apply(change.revision, [change])
    assert sorted(in_order.entries()) == sorted(in_any_order.entries())
    assert in_order.revision == in_any_order.revision
    for service in "ab":
        assert in_order.targets(service) == in_any_order.targets(service)


def test_a_full_reading_removes_missing_targets_but_not_later_ones():
    directory = Directory()
    directory.apply(5, [EntryChange("p", 4, entry("p")), EntryChange("q", 5, None)])
    directory.apply(9, [EntryChange("r", 9, entry("r", "b", number=2))])
    assert directory.replace(7, []) == ["a"]
    assert [found.target_id for found in directory.entries()] == ["r"]


def test_an_address_belongs_to_the_target_that_started_later():
    directory = Directory()
    old, new = entry("p", "a", started=5), entry("q", "b", started=6)
    directory.apply(2, [EntryChange("q", 2, new), EntryChange("p", 1, old)])
    assert directory.target_at("10.0.0.1:4") == new
    assert directory.targets("a") == ()
    assert directory.targets("b") == (new,)


def test_a_leaving_target_is_known_but_takes_no_work():
    directory = Directory()
    gone = entry("p", leaving=True)
    assert directory.apply(1, [EntryChange("p", 1, gone)]) == ["a"]
    assert directory.targets("a") == ()
    assert directory.target_at("10.0.0.1:4") == gone


def test_a_service_that_loses_an_address_to_another_is_reported():
    directory = Directory()
    directory.apply(1, [EntryChange("p", 1, entry("p", "a", started=5))])
    changes = [EntryChange("q", 2, entry("q", "b", started=6))]
    assert directory.apply(2, changes) == ["a", "b"]
    assert directory.targets("a") == ()
