"""The decisions that a call's flow draws on."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..fence.fence import Fence
from ..wire.frames import Submit
from .call import Attempt, Call


class RevokeTarget(NamedTuple):
    """A target that may have run a key; ``departed`` when it is gone by now."""

    host: str
    departed: bool


class CallTools(NamedTuple):
    """Functions over the state of the node, passed in so that flows stay pure.

    ``pick`` chooses a target of the call's service outside the given hosts.
    ``home_order`` gives the targets in the order of the key's rendezvous rank.
    ``split``, ``spend`` and ``give_back`` work on the call's allowance.
    ``may_retry`` tells whether load and suspicion permit one more attempt.
    ``shed_retry_after_ms`` gives the wait when a service on the path sheds this call.
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], int]
    pick: Callable[[Call, frozenset[str]], str | None]
    home_order: Callable[[Call], Sequence[str]]
    revoke_targets: Callable[[Call], Sequence[RevokeTarget]]
    split: Callable[[Call, str], int]
    spend: Callable[[Call], bool]
    give_back: Callable[[Call, str, int], None]
    may_retry: Callable[[Call], bool]
    shed_retry_after_ms: Callable[[Call], int | None]
    mint: Callable[[str, int, str], Fence]
    next_ballot: Callable[[], str]
    key_lifetime_ms: Callable[[], int]
    frame: Callable[[Call, Attempt], Submit]
    log: Callable[..., None]
