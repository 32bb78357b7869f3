"""Bundles as plain dictionaries, and the hosts of their deployments."""

ZONES = ["zone-a", "zone-b"]


def route(service, rank, idempotent, calls=(), method="GET", deadline_ms=2_000):
    """Return one route of a bundle."""
    return {
        "service": service,
        "rank": rank,
        "idempotent": idempotent,
        "deadline_ms": deadline_ms,
        "methods": [method],
        "calls": list(calls),
    }


def three_deep_bundle(**changes):
    """Return a bundle of three services: orders call parts, which call schedules."""
    service = {"slots": 10, "connections": 50}
    return {
        "deployment": "three-deep",
        "version": 1,
        "availability_zones": ZONES,
        "services": {name: dict(service) for name in ("orders", "parts", "schedules")},
        "routes": {
            "lookup": route("orders", 5, True, ["stock"]),
            "book": route("orders", 1, False, ["stock"], method="POST"),
            "stock": route("parts", 5, True, ["crew"]),
            "crew": route("schedules", 5, True),
        },
        **changes,
    }


THREE_DEEP_LAYOUT = [
    (f"{service}-{number}", service, ZONES[number])
    for service in ("orders", "parts", "schedules")
    for number in (0, 1)
]
THREE_DEEP_OPTIONS = {
    "orders": {"calls": ("/parts/stock",)},
    "parts": {"calls": ("/schedules/crew",)},
}


def single_bundle(**changes):
    """Return a bundle of one service with a lookup route and an order route."""
    return {
        "deployment": "single",
        "version": 1,
        "availability_zones": ZONES,
        "services": {"orders": {"slots": 10, "connections": 50}},
        "routes": {
            "lookup": route("orders", 5, True),
            "book": route("orders", 1, False, method="POST"),
        },
        **changes,
    }


def single_layout(count):
    """Return name, service and availability zone of ``count`` hosts of one service."""
    return [(f"orders-{n}", "orders", ZONES[n % 2]) for n in range(count)]
