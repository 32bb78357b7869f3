"""A target's record of one key that it has accepted."""

from enum import StrEnum

from ..wire.frames import Reply
from .fence import Fence


class RunState(StrEnum):
    """The state of an accepted key.

    The node itself can refuse a key as *not run* only while it is ``QUEUED``.
    """

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    FAILED = "failed"


class RunRecord:
    """One key, the fence it was accepted under, and its answer while it is stored.

    ``keep_until_ms`` is monotonic and set when the run ends.
    """

    __slots__ = (
        "fence",
        "fingerprint",
        "keep_until_ms",
        "key",
        "reply",
        "request_id",
        "state",
    )

    def __init__(
        self, *, key: str, fence: Fence, request_id: str, fingerprint: int
    ) -> None:
        self.key = key
        self.fence = fence
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.state = RunState.QUEUED
        self.reply: Reply | None = None
        self.keep_until_ms = 0.0

    @property
    def has_ended(self) -> bool:
        """Whether the run has ended, so that only its result has to be retained."""
        return self.state in (RunState.ANSWERED, RunState.FAILED)
