"""The requests that a target has in hand."""

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
        """Return a ticket that no request has had."""
        return next(self._tickets)

    def add(self, job: Job) -> None:
        """Take ``job`` in hand."""
        self._jobs[job.ticket] = job
        self._by_request[job.submit.request_id] = job
        if job.submit.fence:
            self._by_key[job.submit.key] = job

    def remove(self, job: Job) -> None:
        """Forget ``job``."""
        self._jobs.pop(job.ticket, None)
        self._by_request.pop(job.submit.request_id, None)
        if job.submit.fence and self._by_key.get(job.submit.key) is job:
            del self._by_key[job.submit.key]

    def get(self, ticket: int) -> Job | None:
        """Return the request of that ticket."""
        return self._jobs.get(ticket)

    def by_request(self, request_id: str) -> Job | None:
        """Return the request that arrived as that attempt."""
        return self._by_request.get(request_id)

    def by_key(self, key: str) -> Job | None:
        """Return the request with that idempotency key."""
        return self._by_key.get(key)

    def running(self) -> list[Job]:
        """Return the requests that the backend server has in hand."""
        return [job for job in self._jobs.values() if job.running]

    def waiting_on(self, link: int) -> list[Job]:
        """Return the requests whose reply is owed to that link."""
        return [
            job
            for job in self._jobs.values()
            if any(waiter.link == link for waiter in job.waiters)
        ]


def join(job: Job, link: int, submit: Submit) -> None:
    """Owe the reply of ``job`` to a further copy of its request as well."""
    known = {(waiter.link, waiter.request_id) for waiter in job.waiters}
    if (link, submit.request_id) not in known:
        job.waiters.append(Waiter(link, submit.request_id, submit.allowance))
