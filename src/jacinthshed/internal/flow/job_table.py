"""Table of the requests that a target is processing."""

import itertools

from ..wire.frames import Submit
from .job import Job, Waiter


class JobTable:
    """Queued and running requests by ticket, request id and key."""

    def __init__(self) -> None:
        self._tickets = itertools.count(1)
        self._jobs: dict[int, Job] = {}
        self._by_request: dict[str, Job] = {}
        self._by_key: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def next_ticket(self) -> int:
        """Return a ticket that was not given to any other request."""
        return next(self._tickets)

    def add(self, job: Job) -> None:
        """Add ``job`` to the table."""
        self._jobs[job.ticket] = job
        self._by_request[job.submit.request_id] = job
        if job.submit.fence:
            self._by_key[job.submit.key] = job

    def remove(self, job: Job) -> None:
        """Remove ``job`` from the table."""
        self._jobs.pop(job.ticket, None)
        self._by_request.pop(job.submit.request_id, None)
        if job.submit.fence and self._by_key.get(job.submit.key) is job:
            del self._by_key[job.submit.key]

    def get(self, ticket: int) -> Job | None:
        """Return the job with that ticket, or ``None``."""
        return self._jobs.get(ticket)

    def by_request(self, request_id: str) -> Job | None:
        """Return the job that was submitted as that attempt, or ``None``."""
        return self._by_request.get(request_id)

    def by_key(self, key: str) -> Job | None:
        """Return the fenced job with that idempotency key, or ``None``."""
        return self._by_key.get(key)

    def running(self) -> list[Job]:
        """Return the jobs that were sent to the backend server."""
        return [job for job in self._jobs.values() if job.running]

    def waiting_on(self, link: int) -> list[Job]:
        """Return the jobs whose reply goes to that link."""
        return [
            job
            for job in self._jobs.values()
            if any(waiter.link == link for waiter in job.waiters)
        ]


def add_waiter(job: Job, link: int, submit: Submit) -> None:
    """Add a further copy of the request to the waiters of ``job``.

    A copy with the same link and request id is added once.
    """
    known = {(waiter.link, waiter.request_id) for waiter in job.waiters}
    if (link, submit.request_id) not in known:
        job.waiters.append(Waiter(link, submit.request_id, submit.allowance))
