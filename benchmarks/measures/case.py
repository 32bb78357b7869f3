"""What goes wrong, and when."""

from typing import NamedTuple

from .deployment import Deployment


class Case(NamedTuple):
    """A cause that lasts from ``start_ms`` to ``end_ms``.

    ``demand`` is the demand while it lasts, as a multiple of what just fills the
    scarcest service. ``slow`` multiplies the deepest service's times, ``cold`` those
    of all services, going down to 1 until the end. ``zone_gone`` cuts off the first
    availability zone.
    """

    name: str
    demand: float = 0.7
    slow: float = 1.0
    cold: float = 1.0
    zone_gone: bool = False
    start_ms: float = 3_000.0
    end_ms: float = 13_000.0

    def demand_at(self, now_ms: float) -> float:
        """Return the multiple of demand at a time."""
        lasting = self.start_ms <= now_ms < self.end_ms
        return self.demand if lasting else NORMAL_DEMAND

    def slowness(self, deployment: Deployment, service: str, now_ms: float) -> float:
        """Return the factor on the times of a service at a time."""
        if not self.start_ms <= now_ms < self.end_ms:
            return 1.0
        left = (self.end_ms - now_ms) / (self.end_ms - self.start_ms)
        factor = 1.0 + (self.cold - 1.0) * left
        return factor * (self.slow if service == deployment.deepest else 1.0)


NORMAL_DEMAND = 0.7
AFTER_MS = 7_000.0

CASES = (
    Case("demand 2x", demand=2.0),
    Case("demand 5x", demand=5.0),
    Case("demand 10x", demand=10.0),
    Case("deepest 10x slower", slow=10.0, end_ms=33_000.0),
    Case("slow and demand 5x", slow=10.0, demand=5.0, end_ms=33_000.0),
    Case("zone gone", zone_gone=True),
    Case("cold start", cold=5.0, start_ms=0.0, end_ms=5_000.0),
)
