"""The records that pass between callers, nodes and targets of a run."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from jacinthshed.internal.admission import ShedLevel


@dataclass(slots=True)
class Root:
    """One request of a caller, with all its resends."""

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
        """Whether the caller has got the whole answer."""
        return self.served_ms is not None


class Reply(NamedTuple):
    """The end of one attempt, as its sender hears it."""

    ok: bool
    reason: str
    unused: int
    calls_done: int
    load: float
    level: ShedLevel


@dataclass(slots=True)
class Hop:
    """One call of one service, with all its attempts, until its verdict."""

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
        return self.root.path[self.depth]

    @property
    def name(self) -> str:
        """The route of this call: the services from here on."""
        return ">".join(self.root.path[self.depth :])

    @property
    def below(self) -> str:
        """The route of the call that this one makes."""
        return ">".join(self.root.path[self.depth + 1 :])

    @property
    def is_last(self) -> bool:
        return self.depth == len(self.root.path) - 1


class Attempt(NamedTuple):
    """One message of a hop to one target."""

    id: str
    hop: Hop
    allowance: int
    reply: Callable[[str, Reply], None]
