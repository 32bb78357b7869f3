"""What a target keeps of one key that it has accepted."""

from enum import StrEnum

from ..wire.frames import Reply
from .fence import Fence


class RunState(StrEnum):
    """How far a key has come; only ``QUEUED`` can still become *not run* by us."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    FAILED = "failed"


class RunRecord:
    """One key, the fence it was accepted under, and its answer while it is held.

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
    def ended(self) -> bool:
        """Whether the run has an end that only has to be remembered."""
        return self.state in (RunState.ANSWERED, RunState.FAILED)
