"""One request at its target, from its arrival to its end."""

from typing import NamedTuple

from ..wire.frames import Submit


class Waiter(NamedTuple):
    """Somebody who is owed the reply.

    ``own_allowance`` is what a joining copy brought along and gets back; it is
    ``None`` for the copy that the request runs for, which gets back what is left.
    """

    link: int
    request_id: str
    own_allowance: int | None


class Job:
    """State of one admitted or queued request."""

    __slots__ = (
        "ticket",
        "submit",
        "fingerprint",
        "deadline_at_ms",
        "started_at_ms",
        "accused",
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
        self.accused = False
        self.waiters = [Waiter(link, submit.request_id, None)]

    @property
    def running(self) -> bool:
        """Whether the request was handed to the backend server."""
        return self.started_at_ms is not None

    def held_ms(self, now_ms: float) -> float:
        """Return how long the backend server has had the request."""
        return 0.0 if self.started_at_ms is None else now_ms - self.started_at_ms
