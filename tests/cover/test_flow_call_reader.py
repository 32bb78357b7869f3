"""Keys of nested calls stay valid and distinct at any depth of the call graph."""

from jacinthshed.internal.fence.strategy import MAX_KEY_CHARS, FirstUse, choose_strategy
from jacinthshed.internal.flow.call_reader import nested_key
from jacinthshed.internal.flow.context import ParentContext

DEPTH = 23


def parent_with(key):
    return ParentContext(
        request_id="r",
        root_id="r",
        root_hash=0,
        rank=1,
        route="book",
        deadline_at_ms=0.0,
        invested=0,
        key=key,
    )


def test_keys_of_the_deepest_graph_are_valid_and_distinct():
    seen = set()
    for given in ("9f0c4a5e-0000-7000-8000-000000000001", ""):
        key = "order-1"
        for _ in range(DEPTH):
            key = nested_key(parent_with(key), given, call_number=1)
            strategy = choose_strategy(
                idempotent=False, require_key=True, key=key, fence="new"
            )
            assert strategy == FirstUse(key)
            assert len(key) <= MAX_KEY_CHARS
            assert key not in seen
            seen.add(key)
    assert len(seen) == 2 * DEPTH
