"""The simulated deployments.

Service times are scaled so that the number of events stays low enough to simulate.
"""

from typing import NamedTuple

SAME_ZONE_DELAY_MS = 0.2
JITTER_SHARE = 0.2
LOSS_SHARE = 0.002
RETRANSMIT_MS = 200.0
DEADLINE_MS = 3_000.0


class ServiceSpec(NamedTuple):
    """One service: the slots of each target, and its mean time for a call.

    ``own_ms`` excludes the time of nested calls.
    """

    slots: int
    own_ms: float


class RouteSpec(NamedTuple):
    """One route of root requests.

    ``path`` holds the services that it calls, in order of nesting. ``rate_per_s`` is
    the demand at a multiple of 1, which just fills the scarcest service.
    """

    rank: int
    path: tuple[str, ...]
    rate_per_s: float


class Deployment(NamedTuple):
    """Sizes, link delays and demand. All delays are one way, in milliseconds.

    ``deepest`` is the service at the end of the longest path.
    """

    name: str
    zones: tuple[str, ...]
    services: dict[str, ServiceSpec]
    routes: dict[str, RouteSpec]
    deepest: str
    zone_delay_ms: float
    client_delay_ms: float

    @property
    def mean_delay_ms(self) -> float:
        """Mean delay between two random targets, which may share a zone."""
        cross_zone_share = (len(self.zones) - 1) / len(self.zones)
        jittered = 1 + JITTER_SHARE / 2
        return jittered * (
            cross_zone_share * self.zone_delay_ms
            + (1 - cross_zone_share) * SAME_ZONE_DELAY_MS
        )


PAMPA = Deployment(
    name="pampa",
    zones=("pampa-a", "pampa-b", "pampa-c", "pampa-d"),
    services={
        "clocks": ServiceSpec(50, 50.0),
        "orders": ServiceSpec(50, 50.0),
        "parts": ServiceSpec(50, 50.0),
        "crews": ServiceSpec(10, 100.0),
    },
    routes={
        "push-schedule": RouteSpec(1, ("clocks", "orders", "parts", "crews"), 20.0),
        "book-repair": RouteSpec(2, ("orders", "parts", "crews"), 80.0),
        "read-history": RouteSpec(3, ("clocks", "orders"), 300.0),
        "find-crew": RouteSpec(4, ("parts", "crews"), 300.0),
    },
    deepest="crews",
    zone_delay_ms=5.0,
    client_delay_ms=1.0,
)

WESTERN_LK = Deployment(
    name="western-lk",
    zones=("colombo-a", "colombo-b", "gampaha"),
    services={
        "booking": ServiceSpec(100, 50.0),
        "ledger": ServiceSpec(100, 50.0),
        "inventory": ServiceSpec(100, 50.0),
        "tracking": ServiceSpec(35, 100.0),
    },
    routes={
        "book-slot": RouteSpec(1, ("booking", "inventory", "tracking"), 60.0),
        "refund": RouteSpec(2, ("booking", "ledger", "inventory", "tracking"), 190.0),
        "refund-status": RouteSpec(3, ("ledger", "tracking"), 400.0),
        "find-stock": RouteSpec(4, ("inventory", "tracking"), 400.0),
    },
    deepest="tracking",
    zone_delay_ms=3.5,
    client_delay_ms=8.0,
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (PAMPA, WESTERN_LK)}
