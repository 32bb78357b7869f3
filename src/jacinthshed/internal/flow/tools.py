"""The decisions that a call's flow draws on."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..fence.fence import Fence
from ..fence.revocation import RevocationTarget
from ..verdict import Refusal
from ..wire.frames import Reply, Submit
from .call import Attempt, Call


class CallTools(NamedTuple):
    """Functions over the state of the node, passed in so that flows stay pure.

    ``pick`` chooses a target of the call's service outside the given hosts.
    ``home_order`` gives the targets in the order of the key's rendezvous rank.
    ``split``, ``spend`` and ``give_back`` work on the call's allowance.
    ``may_retry`` tells whether load and suspicion permit one more attempt.
    ``is_failed`` tells whether an answer is one that another target may better.
    ``is_fence_shared`` tells whether anybody but this flow holds the call's fence.
    ``next_ballot`` makes a ballot above the given one. ``view_age_ms`` is how long ago
    the view of the members agreed with a peer's. ``mint`` takes host, incarnation,
    ballot and, for a fence that replaces another, when the key was first used.
    ``early_refusal`` returns the refusal when a service on the path would shed this
    call now or the request is in quarantine. ``record_refusal`` stores the wait that
    a caller was asked for.
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], int]
    pick: Callable[[Call, frozenset[str]], str | None]
    home_order: Callable[[Call], Sequence[str]]
    revocation_targets: Callable[[Call], tuple[RevocationTarget, ...]]
    split: Callable[[Call, str], int]
    spend: Callable[[Call], bool]
    give_back: Callable[[Call, str, int], None]
    may_retry: Callable[[Call], bool]
    is_failed: Callable[[Reply], bool]
    is_fence_shared: Callable[[Call], bool]
    early_refusal: Callable[[Call], Refusal | None]
    record_refusal: Callable[[Call, Refusal], None]
    mint: Callable[[str, int, str, int | None], Fence]
    next_ballot: Callable[[str], str]
    key_lifetime_ms: Callable[[], int]
    view_age_ms: Callable[[], float]
    frame: Callable[[Call, Attempt, str], Submit]
    log: Callable[..., None]
