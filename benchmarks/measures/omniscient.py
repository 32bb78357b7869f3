"""The whole requests of each rank that an omniscient scheduler would serve."""

from .deployment import Deployment, RouteSpec


def _hold_ms(
    deployment: Deployment, slowness: dict[str, float], path
) -> dict[str, float]:
    """Return how long one root occupies a slot of each service on its path, in ms."""
    held_ms: dict[str, float] = {}
    below_ms = 0.0
    for service in reversed(path):
        own_ms = deployment.services[service].own_ms * slowness.get(service, 1.0)
        held_ms[service] = own_ms + below_ms
        below_ms = held_ms[service] + 2 * deployment.mean_delay_ms
    return held_ms


def served_per_s(
    deployment: Deployment, demand: float, slowness: dict[str, float], targets: int
) -> dict[str, float]:
    """Return the roots a second of each route that could be served.

    Ranks are served in order; each uses the slots that the ranks before have left free.
    Queues, refusals and retries cost nothing here. ``slowness`` maps services to
    factors on their times.
    """
    free_slots = {
        name: spec.slots * targets for name, spec in deployment.services.items()
    }
    served: dict[str, float] = {}
    for name, route in sorted(deployment.routes.items(), key=_rank_of_item):
        held_ms = _hold_ms(deployment, slowness, route.path)
        limit_per_s = min(
            free_slots[service] / held_ms[service] * 1_000 for service in held_ms
        )
        served[name] = min(route.rate_per_s * demand, limit_per_s)
        for service, ms in held_ms.items():
            free_slots[service] -= served[name] * ms / 1_000
    return served


def _rank_of_item(item: tuple[str, RouteSpec]) -> int:
    return item[1].rank
