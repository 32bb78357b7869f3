"""Shed levels of the routes that a target's requests go on to call."""

from collections.abc import Callable
from random import Random

from ..admission.levels import LevelTable
from ..admission.shed_level import ShedLevel
from ..fence.instant import Instant
from ..flow.policy import Policy
from ..wire.frames import Submit


def shed_below(
    policy: Callable[[], Policy | None], levels: LevelTable, random: Random
) -> Callable[[Instant, Submit], int | None]:
    """Return the check of a request against the levels of the routes it will call."""

    def shed_below_ms(at: Instant, submit: Submit) -> int | None:
        current = policy()
        route = current.bundle.routes.get(submit.route) if current else None
        if route is None or not route.calls:
            return None
        return levels.refuses(
            at.now_ms, route.calls, submit.rank, submit.root_hash, random.random()
        )

    return shed_below_ms


def level_folder(
    policy: Callable[[], Policy | None], levels: LevelTable
) -> Callable[[Instant, str, ShedLevel], ShedLevel]:
    """Return the fold of a target's level with those of the routes that it calls.

    So an entry node learns from one answer what any service on the path would shed.
    """

    def fold(at: Instant, route_name: str, own: ShedLevel) -> ShedLevel:
        current = policy()
        route = current.bundle.routes.get(route_name) if current else None
        if route is None or not route.calls:
            return own
        return min(own, levels.strictest(at.now_ms, route.calls))

    return fold
