"""Requests that run at this target, as the calls below them need to see them."""

from typing import NamedTuple

from ..wire.frames import Submit


class ParentContext(NamedTuple):
    """What a nested call inherits from the request that makes it.

    ``invested`` counts the calls of the root that were done before the parent began.
    """

    request_id: str
    root_id: str
    root_hash: int
    rank: int
    route: str
    deadline_at_ms: float
    invested: int
    key: str


def parent_context(submit: Submit, deadline_at_ms: float) -> ParentContext:
    """Return what calls inherit from ``submit`` while it runs."""
    return ParentContext(
        request_id=submit.request_id,
        root_id=submit.root_id,
        root_hash=submit.root_hash,
        rank=submit.rank,
        route=submit.route,
        deadline_at_ms=deadline_at_ms,
        invested=submit.invested,
        key=submit.key,
    )


class ContextRegistry:
    """The running requests by request id, with what their nested calls have done."""

    def __init__(self) -> None:
        self._parents: dict[str, ParentContext] = {}
        self._calls_done: dict[str, int] = {}
        self._fences: dict[str, dict[str, str]] = {}
        self._shared: dict[str, set[str]] = {}
        self._call_numbers: dict[str, int] = {}
        self._attempts: dict[str, str] = {}

    def open(self, parent: ParentContext) -> None:
        """Make ``parent`` visible to nested calls."""
        self._parents[parent.request_id] = parent
        self._calls_done[parent.request_id] = 0
        self._attempts[parent.request_id.rpartition(".")[0]] = parent.request_id

    def get(self, request_id: str) -> ParentContext | None:
        """Return the running request of that id."""
        return self._parents.get(request_id)

    def running_attempt(self, request_id: str) -> ParentContext | None:
        """Return the running attempt of the request with that id, if it runs here."""
        return self._parents.get(self._attempts.get(request_id, ""))

    def calls_done(self, request_id: str) -> int:
        """Return how many calls below the request were answered."""
        return self._calls_done.get(request_id, 0)

    def add_calls_done(self, request_id: str, count: int) -> None:
        """Count answered calls; late news about an ended request is dropped."""
        if request_id in self._calls_done:
            self._calls_done[request_id] += count

    def next_call_number(self, request_id: str) -> int:
        """Return a number that no other call of this parent has had."""
        number = self._call_numbers.get(request_id, 0) + 1
        self._call_numbers[request_id] = number
        return number

    def share_fence(self, request_id: str, key: str) -> str:
        """Return the fence that the parent's call with this key holds, or ``""``.

        Two copies of the call hold it from then on.
        """
        fence = self._fences.get(request_id, {}).get(key, "")
        if fence:
            self._shared.setdefault(request_id, set()).add(key)
        return fence

    def is_fence_shared(self, request_id: str, key: str) -> bool:
        """Return whether more than one copy of a nested call holds its fence."""
        return key in self._shared.get(request_id, ())

    def store_fence(self, request_id: str, key: str, fence: str) -> None:
        """Hold a nested call's fence for as long as its parent runs."""
        if request_id in self._parents:
            self._fences.setdefault(request_id, {})[key] = fence

    def close(self, request_id: str) -> int:
        """Forget the request; return how many calls below it were answered."""
        self._parents.pop(request_id, None)
        self._fences.pop(request_id, None)
        self._shared.pop(request_id, None)
        self._call_numbers.pop(request_id, None)
        base = request_id.rpartition(".")[0]
        if self._attempts.get(base) == request_id:
            del self._attempts[base]
        return self._calls_done.pop(request_id, 0)

    def __len__(self) -> int:
        return len(self._parents)
