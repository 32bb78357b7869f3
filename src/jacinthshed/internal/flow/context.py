"""Contexts of the requests that run at this target, for the calls nested in them."""

from typing import NamedTuple

from ..wire.frames import Submit


class ParentContext(NamedTuple):
    """The values that a nested call inherits from the request that makes it.

    ``invested`` is the number of calls of the root request that were answered before
    the parent started. ``deadline_at_ms`` is monotonic time. ``key`` is the parent's
    idempotency key, or empty.
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
    """Return the context for calls that ``submit`` makes while it runs."""
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
    """Running requests by attempt id, with the state of their nested calls."""

    def __init__(self) -> None:
        self._parents: dict[str, ParentContext] = {}
        self._calls_done: dict[str, int] = {}
        self._fences: dict[str, dict[str, str]] = {}
        self._shared_fences: dict[str, set[str]] = {}
        self._call_numbers: dict[str, int] = {}
        self._attempt_ids: dict[str, str] = {}

    def open(self, parent: ParentContext) -> None:
        """Register ``parent``, so that its nested calls find it."""
        self._parents[parent.request_id] = parent
        self._calls_done[parent.request_id] = 0
        self._attempt_ids[parent.request_id.rpartition(".")[0]] = parent.request_id

    def get(self, request_id: str) -> ParentContext | None:
        """Return the context of the running attempt ``request_id``, or ``None``."""
        return self._parents.get(request_id)

    def running_attempt(self, request_id: str) -> ParentContext | None:
        """Return the running attempt of a request, by the id without attempt number.

        Returns ``None`` when no attempt of it runs here.
        """
        return self._parents.get(self._attempt_ids.get(request_id, ""))

    def calls_done(self, request_id: str) -> int:
        """Return how many calls nested in the request were answered."""
        return self._calls_done.get(request_id, 0)

    def add_calls_done(self, request_id: str, count: int) -> None:
        """Count answered calls; ignored when the request has already ended."""
        if request_id in self._calls_done:
            self._calls_done[request_id] += count

    def next_call_number(self, request_id: str) -> int:
        """Return a number that no other call of this parent has been given."""
        number = self._call_numbers.get(request_id, 0) + 1
        self._call_numbers[request_id] = number
        return number

    def share_fence(self, request_id: str, key: str) -> str:
        """Return the fence stored for the parent's call with this key, or ``""``.

        A fence that is returned is marked as shared by two copies of the call.
        """
        fence = self._fences.get(request_id, {}).get(key, "")
        if fence:
            self._shared_fences.setdefault(request_id, set()).add(key)
        return fence

    def is_fence_shared(self, request_id: str, key: str) -> bool:
        """Return whether more than one copy of a nested call holds its fence."""
        return key in self._shared_fences.get(request_id, ())

    def store_fence(self, request_id: str, key: str, fence: str) -> None:
        """Store a nested call's fence until its parent ends."""
        if request_id in self._parents:
            self._fences.setdefault(request_id, {})[key] = fence

    def close(self, request_id: str) -> int:
        """Remove the request and return how many calls nested in it were answered."""
        self._parents.pop(request_id, None)
        self._fences.pop(request_id, None)
        self._shared_fences.pop(request_id, None)
        self._call_numbers.pop(request_id, None)
        base_id = request_id.rpartition(".")[0]
        if self._attempt_ids.get(base_id) == request_id:
            del self._attempt_ids[base_id]
        return self._calls_done.pop(request_id, 0)

    def __len__(self) -> int:
        return len(self._parents)
