"""The records that callers, nodes and targets of a run exchange."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from jacinthshed.internal.admission import ShedLevel


@dataclass(slots=True)
class Root:
    """One request of a caller, with all its resends.

    ``work_ms`` is the time that backend servers have worked on it; ``refusals`` counts
    its failed submissions by reason.
    """

    id: int
    route: str
    rank: int
    root_hash: int
    path: tuple[str, ...]
    arrived_ms: float
    served_ms: float | None = None
    refusals: dict[str, int] = field(default_factory=dict)
    work_ms: float = 0.0

    @property
    def served(self) -> bool:
        """Whether the caller has received the answer."""
        return self.served_ms is not None


class Reply(NamedTuple):
    """The reply to one attempt.

    ``unused`` is the part of the retry allowance that was not spent. ``calls_done`` is
    the number of calls that succeeded, nested ones included. ``load`` is that of the
    target, and ``level`` the stricter shed level of the target and its nested route.
    """

    ok: bool
    reason: str
    unused: int
    calls_done: int
    load: float
    level: ShedLevel


@dataclass(slots=True)
class Hop:
    """One call of one service, with all its attempts, until its verdict.

    ``depth`` is the index of the service in the path of the root, and ``invested`` the
    number of calls above it. ``started`` says whether an attempt has run, ``uncertain``
    whether one lost its link before a reply. ``answered`` holds the ids of attempts
    that have ended, and ``tried`` the names of the targets that got one.
    """

    root: Root
    depth: int
    request_id: str
    invested: int
    deadline_at_ms: float
    done: Callable[[bool, str, int], Any]
    attempts: int = 0
    open: bool = True
    started: bool = False
    uncertain: bool = False
    answered: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)

    @property
    def service(self) -> str:
        """The called service."""
        return self.root.path[self.depth]

    @property
    def route(self) -> str:
        """Route of this call: the services from this one to the end of the path."""
        return ">".join(self.root.path[self.depth :])

    @property
    def nested_route(self) -> str:
        """Route of the nested call that this one makes."""
        return ">".join(self.root.path[self.depth + 1 :])

    @property
    def is_last(self) -> bool:
        """Whether the call makes no nested call."""
        return self.depth == len(self.root.path) - 1


class Attempt(NamedTuple):
    """One message of a hop to one target.

    ``allowance`` is the number of retries that the target may use for nested calls.
    """

    id: str
    hop: Hop
    allowance: int
    reply: Callable[[str, Reply], None]
