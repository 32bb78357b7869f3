"""The figures of one run."""

from typing import NamedTuple

from .case import Case
from .deployment import Deployment
from .model import Root
from .omniscient import served_per_s

STEP_MS = 50.0
SUSTAINED_MS = 1_000.0
RECOVERED_SHARE = 0.99
SETTLE_MS = 1_000.0


class Summary(NamedTuple):
    """The reported figures of one run.

    ``goodput`` is the whole requests served while the fault lasted, over those that an
    omniscient scheduler would have served in that time. ``served_by_rank`` is the share
    served, then or later by a resend, of the requests that arrived in that time.
    """

    goodput: float
    served_by_rank: dict[int, float]
    ideal_by_rank: dict[int, float]
    wasted_share: float
    recovery_ms: float | None
    attempts_per_first: float
    refusals: dict[str, int]
    claims: dict[str, int]


def summarize(world, roots: list[Root]) -> Summary:
    """Return the figures of a run that has ended."""
    case, deployment = world.case, world.deployment
    arrived_during = [r for r in roots if case.start_ms <= r.arrived_ms < case.end_ms]
    ideal = _ideal_by_rank(deployment, case)
    finished = sum(
        1 for r in roots if r.served and case.start_ms <= r.served_ms < case.end_ms
    )
    demand = {r.rank: r.rate_per_s * case.demand for r in deployment.routes.values()}
    ideal_total = sum(ideal.values()) * (case.end_ms - case.start_ms) / 1_000
    work_ms = sum(root.work_ms for root in roots)
    wasted_ms = sum(root.work_ms for root in roots if not root.served)
    refusals: dict[str, int] = {}
    for root in roots:
        for reason, number in root.refusals.items():
            refusals[reason] = refusals.get(reason, 0) + number
    return Summary(
        goodput=finished / ideal_total,
        served_by_rank=_share_by_rank(arrived_during),
        ideal_by_rank={rank: ideal[rank] / demand[rank] for rank in sorted(ideal)},
        wasted_share=wasted_ms / work_ms,
        recovery_ms=_recovery_ms(case, roots),
        attempts_per_first=world.attempts / world.first_attempts,
        refusals=refusals,
        claims=dict(world.callers.claims),
    )


def _ideal_by_rank(deployment: Deployment, case: Case) -> dict[int, float]:
    """Return the roots a second that could be served, averaged over the fault."""
    targets = len(deployment.zones) - case.zone_gone
    steps = 20
    ideal = {route.rank: 0.0 for route in deployment.routes.values()}
    for step in range(steps):
        at_ms = case.start_ms + (case.end_ms - case.start_ms) * (step + 0.5) / steps
        slowness = {s: case.slowness(deployment, s, at_ms) for s in deployment.services}
        rates = served_per_s(deployment, case.demand, slowness, targets)
        for route, rate_per_s in rates.items():
            ideal[deployment.routes[route].rank] += rate_per_s / steps
    return ideal


def _share_by_rank(roots: list[Root]) -> dict[int, float]:
    shares = {}
    for rank in sorted({root.rank for root in roots}):
        of_rank = [root.served for root in roots if root.rank == rank]
        shares[rank] = sum(of_rank) / len(of_rank)
    return shares


def _recovery_ms(case: Case, roots: list[Root]) -> float | None:
    """Return the time from the end of the fault until goodput has recovered.

    Goodput is the share of arrived roots that are served, by time of arrival. It has
    recovered when it is ``RECOVERED_SHARE`` of its value before the fault, over
    ``SUSTAINED_MS``. Return ``None`` if that takes longer than 4 s.
    """
    before = [r for r in roots if SETTLE_MS <= r.arrived_ms < case.start_ms]
    normal_share = sum(r.served for r in before) / len(before) if before else 1.0
    served, arrived = _counts_by_step(case, roots)
    span = int(SUSTAINED_MS / STEP_MS)
    for first in range(len(arrived) - span):
        window = slice(first, first + span)
        share = sum(served[window]) / max(1, sum(arrived[window]))
        if share >= RECOVERED_SHARE * normal_share:
            return first * STEP_MS
    return None


def _counts_by_step(case: Case, roots: list[Root]) -> tuple[list[int], list[int]]:
    steps = int(5_000.0 / STEP_MS)
    served, arrived = [0] * steps, [0] * steps
    for root in roots:
        step = int((root.arrived_ms - case.end_ms) // STEP_MS)
        if 0 <= step < steps:
            arrived[step] += 1
            served[step] += root.served
    return served, arrived
