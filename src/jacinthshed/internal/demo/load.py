"""Open-loop load: requests are sent on schedule, whether or not others are answered."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import trio

from .scenario import DEADLINE_MS, DemoRoute, Phase

# Sends one request and returns whether a whole answer was received.
Send = Callable[[DemoRoute], Awaitable[bool]]


class Sample(NamedTuple):
    """One request, sent ``sent_s`` after the start.

    ``answered`` is true if a whole answer was received within the deadline.
    """

    route: str
    phase: str
    sent_s: float
    answered: bool


class Progress(NamedTuple):
    """Counts of the last second, ``at_s`` after the start."""

    phase: str
    at_s: float
    sent: int
    answered: int


Report = Callable[[Progress], None]


class Load:
    """Sends the requests of each phase and collects a sample of each request.

    Arrivals are random with exponential intervals; ``report`` is called each second.
    """

    def __init__(
        self,
        *,
        phases: Sequence[Phase],
        routes: Sequence[DemoRoute],
        send: Send,
        rng: random.Random,
        report: Report,
    ) -> None:
        self.samples: list[Sample] = []
        self._phases = phases
        self._routes = routes
        self._send = send
        self._rng = rng
        self._report = report
        self._phase = phases[0]
        self._sent = 0
        self._answered = 0
        self._start_s = 0.0

    async def run(self) -> list[Sample]:
        """Run all phases, wait for the last answers, and return the samples."""
        self._start_s = trio.current_time()
        async with trio.open_nursery() as reporting:
            reporting.start_soon(self._report_each_second)
            async with trio.open_nursery() as requests:
                for phase in self._phases:
                    self._phase = phase
                    await self._run_phase(phase, requests)
            reporting.cancel_scope.cancel()
        return self.samples

    async def _run_phase(self, phase: Phase, requests: trio.Nursery) -> None:
        next_s = trio.current_time()
        end_s = next_s + phase.length_s
        while True:
            next_s += self._rng.expovariate(phase.demand_per_s)
            if next_s >= end_s:
                await trio.sleep_until(end_s)
                return
            await trio.sleep_until(next_s)
            shares = [route.share for route in self._routes]
            (route,) = self._rng.choices(self._routes, shares)
            requests.start_soon(self._send_one, route, phase)

    async def _send_one(self, route: DemoRoute, phase: Phase) -> None:
        sent_s = trio.current_time() - self._start_s
        self._sent += 1
        answered = False
        with trio.move_on_after(DEADLINE_MS / 1_000):
            answered = await self._send(route)
        self._answered += answered
        self.samples.append(Sample(route.name, phase.name, sent_s, answered))

    async def _report_each_second(self) -> None:
        while True:
            await trio.sleep(1)
            at_s = trio.current_time() - self._start_s
            self._report(Progress(self._phase.name, at_s, self._sent, self._answered))
            self._sent = self._answered = 0
