"""What a caller knows about one idempotency key."""

import trio

from ..verdict import Reason, Verdict

NEW_FENCE = "new"

# With these, a node refused one copy of a request without asking the target about
# others, so they tell nothing about a copy that was sent earlier.
_ABOUT_ONE_COPY = frozenset(
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

    Three cases: never sent, where ``new`` may be promised; sent with a known fence;
    sent without one, where the system has to find out before it runs the request.
    ``fenced`` is false for idempotent requests, whose copies are independent.
    """

    def __init__(self, *, key: str, fenced: bool, may_have_run: bool) -> None:
        self.key = key
        self.fenced = fenced
        self.may_have_run = may_have_run
        self.fence = ""
        self.used_s = 0.0
        self.lock = trio.Lock()

    @property
    def fence_to_send(self) -> str:
        """The value of the fence field of the next copy, empty for none."""
        if not self.fenced:
            return ""
        if self.fence:
            return self.fence
        return "" if self.may_have_run else NEW_FENCE

    @property
    def local_verdict(self) -> Verdict:
        """The verdict when the caller gives up without a word from the system."""
        return Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN

    def learn_fence(self, fence: str) -> None:
        """Keep the fence that the system told."""
        if self.fenced and fence:
            self.fence = fence

    def settle(
        self, verdict: Verdict, reason: Reason, *, may_have_run_before: bool
    ) -> Verdict:
        """Take in the verdict on one copy; return the verdict on all of them.

        ``may_have_run_before`` is about copies that were sent before that one.
        """
        if verdict is not Verdict.NOT_RUN:
            self.may_have_run = True
            return verdict
        covers_all = self.fenced and reason not in _ABOUT_ONE_COPY
        if may_have_run_before and not covers_all:
            return Verdict.MAY_HAVE_RUN
        # Proven for all copies: the next one needs, and may have, a new fence.
        self.may_have_run = False
        self.fence = ""
        return verdict
