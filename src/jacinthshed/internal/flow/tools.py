"""Functions of the node that a call's flow uses."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..fence.fence import Fence
from ..fence.revocation import RevocationTarget
from ..verdict import Refusal
from ..wire.frames import Reply, Submit
from .call import Attempt, Call


class CallTools(NamedTuple):
    """Functions over the state of the node, passed in so that flows stay pure.

    - ``now_ms`` returns monotonic time, ``wall_ms`` wall-clock time.
    - ``pick`` chooses a target of the call's service that is not among the given
      hosts, or returns ``None``.
    - ``preference_order`` returns the target hosts in the rendezvous order of the
      call's key.
    - ``revocation_targets`` returns the targets that a revocation has to query.
    - ``split``, ``spend`` and ``give_back`` change the call's retry allowance.
    - ``may_retry`` returns whether the resend limit and the crash suspects permit one
      more attempt.
    - ``is_failed`` returns whether another target may give a better answer.
    - ``is_fence_shared`` returns whether the caller, or another copy of the call, has
      the call's fence as well.
    - ``early_refusal`` returns the refusal if the call is in quarantine, exceeds the
      resend limit or would be shed now; otherwise ``None``.
    - ``record_refusal`` stores the wait that the caller was asked for.
    - ``mint`` creates a fence from host, incarnation, ballot and, for a fence that
      replaces another, the time at which the key was first used.
    - ``next_ballot`` returns a ballot above the given one.
    - ``key_lifetime_ms`` returns the lifetime of idempotency keys.
    - ``view_age_ms`` returns the time since the membership view agreed with a peer's.
    - ``frame`` builds the ``Submit`` frame of an attempt for a host.
    - ``log`` takes an event name and its fields.
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], int]
    pick: Callable[[Call, frozenset[str]], str | None]
    preference_order: Callable[[Call], Sequence[str]]
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
