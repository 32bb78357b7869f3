"""State of one request at its target, from its arrival to its end."""

from typing import NamedTuple

from ..wire.frames import Submit


class Waiter(NamedTuple):
    """A copy of a request that waits for the reply.

    ``own_allowance`` is the retry allowance that came with a further copy and is
    returned to it in full. It is ``None`` for the copy that started the job, which gets
    the unused rest of its allowance back.
    """

    link: int
    request_id: str
    own_allowance: int | None


class Job:
    """One queued or running request.

    ``crash_reported`` is set once the request was reported for a crash of the backend
    server. ``fingerprint`` identifies equal requests in crash reports.
    """

    __slots__ = (
        "ticket",
        "submit",
        "fingerprint",
        "deadline_at_ms",
        "started_at_ms",
        "crash_reported",
        "waiters",
    )

    def __init__(
        self,
        *,
        ticket: int,
        submit: Submit,
        fingerprint: int,
        deadline_at_ms: float,
        link: int,
    ) -> None:
        self.ticket = ticket
        self.submit = submit
        self.fingerprint = fingerprint
        self.deadline_at_ms = deadline_at_ms
        self.started_at_ms: float | None = None
        self.crash_reported = False
        self.waiters = [Waiter(link, submit.request_id, None)]

    @property
    def running(self) -> bool:
        """Whether the request was sent to the backend server."""
        return self.started_at_ms is not None

    def running_ms(self, now_ms: float) -> float:
        """Return how long the request has been running, in milliseconds."""
        return 0.0 if self.started_at_ms is None else now_ms - self.started_at_ms
