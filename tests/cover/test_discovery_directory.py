"""The directory of targets, as changes come in any order."""

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
    lambda key, number, service, leaving, is_there: (
        key,
        entry(key, service, number=number, leaving=leaving) if is_there else None,
    ),
    st.sampled_from("pqr"),
    st.integers(1, 4),
    st.sampled_from("ab"),
    st.booleans(),
    st.booleans(),
)


@settings(max_examples=200)
@given(made=st.lists(CHANGES, max_size=12), random=st.randoms(use_true_random=False))
def test_changes_in_any_order_and_number_give_the_same_directory(made, random):
    changes = [EntryChange(key, n, found) for n, (key, found) in enumerate(made, 1)]
    straight, mixed = Directory(), Directory()
    for change in changes:
        straight.apply(change.revision, [change])
    shuffled = [*changes, *changes]
    random.shuffle(shuffled)
    for change in shuffled:
        mixed.apply(change.revision, [change])
    assert sorted(straight.entries()) == sorted(mixed.entries())
    assert straight.revision == mixed.revision
    for service in "ab":
        assert straight.targets(service) == mixed.targets(service)


def test_a_full_reading_drops_what_it_lacks_but_not_what_came_later():
    directory = Directory()
    directory.apply(5, [EntryChange("p", 4, entry("p")), EntryChange("q", 5, None)])
    directory.apply(9, [EntryChange("r", 9, entry("r", "b", number=2))])
    assert directory.replace(7, []) == ["a"]
    assert [found.target_id for found in directory.entries()] == ["r"]


def test_of_two_targets_at_one_address_the_later_start_counts():
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


def test_a_service_that_loses_an_address_to_another_is_told():
    directory = Directory()
    directory.apply(1, [EntryChange("p", 1, entry("p", "a", started=5))])
    changes = [EntryChange("q", 2, entry("q", "b", started=6))]
    assert directory.apply(2, changes) == ["a", "b"]
    assert directory.targets("a") == ()
