"""Decides when a caller sends another copy of a request automatically."""

import random

from ..retry.token_bucket import TokenBucket
from ..verdict import Refusal, Verdict
from .submission import Submission

MAX_RESENDS = 2

_RETRY_RATIO = 0.1
_RETRY_BURST = 20
_JITTER = 0.5


class ResendPolicy:
    """Limits the resends of each request and of all requests of a caller."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._bucket = TokenBucket(burst=_RETRY_BURST)

    def note_fresh_request(self) -> None:
        """Add to the retry budget for a request of which no copy was sent before."""
        self._bucket.add(_RETRY_RATIO)

    def has_resend_for(self, submission: Submission) -> bool:
        """Return whether another copy is within the limits of ``submission``."""
        return submission.resends > 0 and self._bucket.has_token

    def take(
        self, submission: Submission, refusal: Refusal, left_ms: float
    ) -> float | None:
        """Consume a resend.

        Returns the wait before it in milliseconds, or ``None`` when none is allowed.
        """
        wait_ms = self._wait_ms(submission, refusal)
        if wait_ms is None or wait_ms >= left_ms or submission.resends <= 0:
            return None
        if not self._bucket.take():
            return None
        submission.resends -= 1
        return wait_ms

    def _wait_ms(self, submission: Submission, refusal: Refusal) -> float | None:
        if refusal.verdict is not Verdict.NOT_RUN and not submission.may_resend:
            return None
        if refusal.retry_after_ms > 0:
            # Jitter, so that callers refused at the same time do not resend together.
            return refusal.retry_after_ms * (1 + _JITTER * self._rng.random())
        sent_without_response = (
            submission.exchange_failed and submission.record.may_have_run
        )
        return 0.0 if sent_without_response else None
