"""The simulated faults and overloads, and when they occur."""

from typing import NamedTuple

from .deployment import Deployment


class Case(NamedTuple):
    """A fault or overload that lasts from ``start_ms`` to ``end_ms``.

    ``demand`` is the demand while it lasts, as a multiple of the demand that just fills
    the scarcest service. ``slow_factor`` multiplies the service times of the deepest
    service. ``cold_factor`` multiplies those of all services, and falls linearly to 1
    at the end. ``zone_gone`` cuts off the first availability zone.
    """

    name: str
    demand: float = 0.7
    slow_factor: float = 1.0
    cold_factor: float = 1.0
    zone_gone: bool = False
    start_ms: float = 3_000.0
    end_ms: float = 13_000.0

    def demand_at(self, now_ms: float) -> float:
        """Return the demand at a time, as a multiple."""
        is_active = self.start_ms <= now_ms < self.end_ms
        return self.demand if is_active else NORMAL_DEMAND

    def slowness(self, deployment: Deployment, service: str, now_ms: float) -> float:
        """Return the factor on the service times of ``service`` at a time."""
        if not self.start_ms <= now_ms < self.end_ms:
            return 1.0
        remaining_share = (self.end_ms - now_ms) / (self.end_ms - self.start_ms)
        factor = 1.0 + (self.cold_factor - 1.0) * remaining_share
        return factor * (self.slow_factor if service == deployment.deepest else 1.0)


NORMAL_DEMAND = 0.7
AFTER_END_MS = 7_000.0

CASES = (
    Case("demand 2x", demand=2.0),
    Case("demand 5x", demand=5.0),
    Case("demand 10x", demand=10.0),
    Case("deepest 10x slower", slow_factor=10.0, end_ms=33_000.0),
    Case("slow and demand 5x", slow_factor=10.0, demand=5.0, end_ms=33_000.0),
    Case("zone gone", zone_gone=True),
    Case("cold start", cold_factor=5.0, start_ms=0.0, end_ms=5_000.0),
)
