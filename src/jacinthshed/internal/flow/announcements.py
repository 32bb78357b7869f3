"""What a backend server announces about itself in its answers."""

from collections.abc import Callable
from typing import NamedTuple

from ..admission.announced_rate import AnnouncedRate
from ..admission.slowdown import Slowdown
from ..fence.instant import Instant
from ..telemetry.log import LogDecision
from ..wire.frames import Submit
from .arrival_check import ArrivalCheck
from .backend_outcome import BackendAnswer, BackendResult


class Announcement(NamedTuple):
    """The requests per second that a backend server takes, and whether it leaves.

    ``rate_per_s`` is ``None`` if the answer names no rate. ``slowdown_pct`` is how long
    work takes there now, in percent of the usual, or ``None`` if the answer has no such
    figure.
    """

    rate_per_s: float | None = None
    is_leaving: bool = False
    slowdown_pct: int | None = None


ReadAnnouncement = Callable[[BackendAnswer], Announcement]
"""Returns what an answer announces."""

RecordAnnouncement = Callable[[Instant, Submit, BackendResult], None]
"""Records what the answer to a request announces."""


def announcement_recorder(
    *,
    read: ReadAnnouncement,
    rate: AnnouncedRate,
    slowdown: Slowdown,
    check: ArrivalCheck,
    log: LogDecision,
) -> RecordAnnouncement:
    """Return the function that records the announcements of one backend server."""

    def record(at: Instant, submit: Submit, result: BackendResult) -> None:
        if not isinstance(result, BackendAnswer):
            return
        announced = read(result)
        slowdown.announce(at.now_ms, announced.slowdown_pct)
        if rate.announce(at.now_ms, announced.rate_per_s):
            rate_per_s = rate.rate_per_s if rate.is_limited else None
            log("rate_announced", target_id=submit.target_id, rate_per_s=rate_per_s)
        if announced.is_leaving and check.target_announced_leave(submit.target_id):
            log("leave_announced", target_id=submit.target_id)

    return record
