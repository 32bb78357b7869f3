"""The state that a caller keeps for one idempotency key."""

import trio

from ..verdict import Reason, Verdict

NEW_FENCE = "new"

# With these reasons, a node refuses one copy of a request without asking the target
# about other copies, so they say nothing about a copy that was sent earlier.
_REASONS_FOR_ONE_COPY = frozenset(
    (
        Reason.MALFORMED,
        Reason.TOO_LARGE,
        Reason.KEY_REQUIRED,
        Reason.UNKNOWN_ROUTE,
        Reason.RETRY_LIMIT,
        Reason.NO_BUNDLE,
        Reason.NO_TARGET,
        Reason.UNREACHABLE,
    )
)


class KeyRecord:
    """The fence of a key, and whether a copy of its request may have run.

    There are three cases. A key that was never sent is sent with the fence ``new``. A
    key that was sent and has a known fence is sent with that fence. A key that was sent
    and has none is sent without a fence, and the nodes must find out whether the
    request ran before they run it. ``fenced`` is false for idempotent requests, whose
    copies are independent. ``last_used_s`` is on trio's clock.
    """

    def __init__(self, *, key: str, fenced: bool, may_have_run: bool) -> None:
        self.key = key
        self.fenced = fenced
        self.may_have_run = may_have_run
        self.fence = ""
        self.last_used_s = 0.0
        self.lock = trio.Lock()

    @property
    def fence_to_send(self) -> str:
        """The value of the fence field of the next copy, or ``""`` for none."""
        if not self.fenced:
            return ""
        if self.fence:
            return self.fence
        return "" if self.may_have_run else NEW_FENCE

    @property
    def local_verdict(self) -> Verdict:
        """The verdict when the caller gives up without a response from a node."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    def store_fence(self, fence: str) -> None:
        """Store the fence that a node has sent; an empty one is ignored."""
        if self.fenced and fence:
            self.fence = fence

    def record_verdict(
        self, verdict: Verdict, reason: Reason, *, may_have_run_before: bool
    ) -> Verdict:
        """Record the verdict on one copy and return the verdict on all copies.

        ``may_have_run_before`` is true if a copy sent before that one may have run.
        """
        if verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
            return verdict
        covers_all = self.fenced and reason not in _REASONS_FOR_ONE_COPY
        if may_have_run_before and not covers_all:
            return Verdict.MAY_HAVE_RUN
        # No copy has run: the next copy needs a new fence and may have one.
        self.may_have_run = False
        self.fence = ""
        return verdict
