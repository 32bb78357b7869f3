"""Scenario of the demonstration: a chain of three services, and a surge."""

from typing import Any, NamedTuple

from ..standin.backend_options import BackendOptions

AVAILABILITY_ZONES = ("zone-a", "zone-b")
TARGETS_PER_SERVICE = 2
DEADLINE_MS = 1_500
CALM_PER_S = 25.0
SURGE_PER_S = 125.0


class Phase(NamedTuple):
    """A period of ``length_s`` with a constant demand in requests per second."""

    name: str
    length_s: float
    demand_per_s: float


class DemoRoute(NamedTuple):
    """A kind of request that callers send, its share of the demand and its rank."""

    name: str
    method: str
    path: str
    share: float
    rank: int


PHASES = (
    Phase("calm", 2.0, CALM_PER_S),
    Phase("surge", 4.0, SURGE_PER_S),
    Phase("after", 3.0, CALM_PER_S),
)
ROUTES = (
    DemoRoute("booking", "POST", "/orders/booking", 0.3, 1),
    DemoRoute("lookup", "GET", "/orders/lookup", 0.7, 5),
)

# The last service is the bottleneck: two targets of two slots and 80 ms per request
# serve 50 requests per second, a bit over a third of the surge.
BACKENDS = (
    BackendOptions(
        host="",
        service="orders",
        slots=16,
        queue=32,
        service_ms=5.0,
        calls=("/parts/stock",),
        call_timeout_ms=DEADLINE_MS,
    ),
    BackendOptions(
        host="",
        service="parts",
        slots=16,
        queue=32,
        service_ms=5.0,
        calls=("/schedules/crew",),
        call_timeout_ms=DEADLINE_MS,
    ),
    BackendOptions(host="", service="schedules", slots=2, queue=8, service_ms=80.0),
)


def demo_bundle() -> dict[str, Any]:
    """Return the bundle document of the demonstration."""
    return {
        "deployment": "demo",
        "version": 1,
        "availability_zones": list(AVAILABILITY_ZONES),
        "services": {
            options.service: {"slots": options.slots, "connections": 100}
            for options in BACKENDS
        },
        "routes": {
            **{route.name: _entry_route(route) for route in ROUTES},
            "stock": _inner_route("parts", ["crew"]),
            "crew": _inner_route("schedules", []),
        },
    }


def _entry_route(route: DemoRoute) -> dict[str, Any]:
    return {
        "service": "orders",
        "rank": route.rank,
        "idempotent": route.method == "GET",
        "deadline_ms": DEADLINE_MS,
        "methods": [route.method],
        "path": route.path.removeprefix("/orders"),
        "calls": ["stock"],
    }


def _inner_route(service: str, calls: list[str]) -> dict[str, Any]:
    return {
        "service": service,
        "rank": 5,
        "idempotent": True,
        "deadline_ms": DEADLINE_MS,
        "methods": ["GET"],
        "calls": calls,
    }
