"""Shed levels of the routes that a target's requests call downstream."""

from collections.abc import Callable
from random import Random

from ..admission.shed_level import ShedLevel
from ..admission.shed_level_table import ShedLevelTable
from ..fence.instant import Instant
from ..flow.observed_calls import ObservedCalls
from ..flow.policy import Policy
from ..wire.frames import Submit, is_root_attempt

DownstreamRoutes = Callable[[float, str], tuple[str, ...]]
"""Takes a time in ms and a route name; returns the routes that it calls."""


def downstream_routes(
    policy: Callable[[], Policy | None], observed_calls: ObservedCalls
) -> DownstreamRoutes:
    """Return a function that gives a route's declared calls, or else observed ones."""

    def find_routes(now_ms: float, route_name: str) -> tuple[str, ...]:
        current = policy()
        route = current.bundle.routes.get(route_name) if current else None
        declared = route.calls if route is not None else ()
        return declared or observed_calls.routes_called_by(now_ms, route_name)

    return find_routes


def may_shed(policy: Policy | None, *, is_call: bool) -> bool:
    """Return whether shed levels may refuse a root request or a nested call.

    ``is_call`` is true for a nested call. Root requests may always be refused.
    """
    return not is_call or policy is None or policy.bundle.admission.sheds_calls


def downstream_shed_check(
    policy: Callable[[], Policy | None],
    routes_of: DownstreamRoutes,
    levels: ShedLevelTable,
    random: Random,
) -> Callable[[Instant, Submit], int | None]:
    """Return a check of a request against the levels of the routes it will call.

    The check returns the time to wait in ms, or ``None`` to let the request pass.
    """

    def shed_below_ms(at: Instant, submit: Submit) -> int | None:
        if not may_shed(policy(), is_call=not is_root_attempt(submit)):
            return None
        below = routes_of(at.now_ms, submit.route)
        if not below:
            return None
        return levels.refusal_wait_ms(
            at.now_ms, below, submit.rank, submit.root_hash, random.random()
        )

    return shed_below_ms


def downstream_level_merger(
    routes_of: DownstreamRoutes, levels: ShedLevelTable
) -> Callable[[Instant, str, ShedLevel], ShedLevel]:
    """Return a function that merges a route's own level with its downstream levels.

    One answer then gives an entry node the strictest level of all services on the path.
    """

    def merge(at: Instant, route_name: str, own: ShedLevel) -> ShedLevel:
        below = routes_of(at.now_ms, route_name)
        return min(own, levels.strictest(at.now_ms, below)) if below else own

    return merge
