"""What a scheduler that knew everything would serve: whole requests, by rank."""

from .deployment import Deployment, RouteSpec


def _hold_ms(deployment: Deployment, slow: dict[str, float], path) -> dict[str, float]:
    """Return how long one root holds a slot of each service on its path."""
    held: dict[str, float] = {}
    below_ms = 0.0
    for service in reversed(path):
        own_ms = deployment.services[service].own_ms * slow.get(service, 1.0)
        held[service] = own_ms + below_ms
        below_ms = held[service] + 2 * deployment.mean_delay_ms
    return held


def served_per_s(
    deployment: Deployment, demand: float, slow: dict[str, float], targets: int
) -> dict[str, float]:
    """Return the roots a second that could be served of each route.

    Ranks are served in their order; each takes what it can of the slots that the
    ranks above have left. Queues, refusals and retries cost nothing here.
    """
    free = {name: spec.slots * targets for name, spec in deployment.services.items()}
    served: dict[str, float] = {}
    for name, route in sorted(deployment.routes.items(), key=_rank_of_item):
        held = _hold_ms(deployment, slow, route.path)
        possible = min(free[service] / held[service] * 1_000 for service in held)
        served[name] = min(route.rate_per_s * demand, possible)
        for service, ms in held.items():
            free[service] -= served[name] * ms / 1_000
    return served


def _rank_of_item(item: tuple[str, RouteSpec]) -> int:
    return item[1].rank
