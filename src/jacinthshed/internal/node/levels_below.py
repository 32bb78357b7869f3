"""Shed levels of the routes that a target's requests go on to call."""

from collections.abc import Callable
from random import Random

from ..admission.shed_level import ShedLevel
from ..admission.shed_level_table import ShedLevelTable
from ..fence.instant import Instant
from ..flow.observed_calls import ObservedCalls
from ..flow.policy import Policy
from ..wire.frames import Submit, is_root_attempt

CallsOf = Callable[[float, str], tuple[str, ...]]
"""Returns the routes below a route at a moment in milliseconds."""


def calls_of(policy: Callable[[], Policy | None], learned: ObservedCalls) -> CallsOf:
    """Return the function that gives declared calls, else learned ones."""

    def calls(now_ms: float, route_name: str) -> tuple[str, ...]:
        current = policy()
        route = current.bundle.routes.get(route_name) if current else None
        declared = route.calls if route is not None else ()
        return declared or learned.routes_called_by(now_ms, route_name)

    return calls


def may_shed(policy: Policy | None, *, is_call: bool) -> bool:
    """Return whether shed levels may refuse a root, or a call of a running request."""
    return not is_call or policy is None or policy.bundle.admission.sheds_calls


def shed_below(
    policy: Callable[[], Policy | None],
    calls: CallsOf,
    levels: ShedLevelTable,
    random: Random,
) -> Callable[[Instant, Submit], int | None]:
    """Return the check of a request against the levels of the routes it will call."""

    def shed_below_ms(at: Instant, submit: Submit) -> int | None:
        if not may_shed(policy(), is_call=not is_root_attempt(submit)):
            return None
        below = calls(at.now_ms, submit.route)
        if not below:
            return None
        return levels.refusal_wait_ms(
            at.now_ms, below, submit.rank, submit.root_hash, random.random()
        )

    return shed_below_ms


def level_folder(
    calls: CallsOf, levels: ShedLevelTable
) -> Callable[[Instant, str, ShedLevel], ShedLevel]:
    """Return the fold of a target's level with those of the routes that it calls.

    So an entry node learns from one answer what any service on the path would shed.
    """

    def fold(at: Instant, route_name: str, own: ShedLevel) -> ShedLevel:
        below = calls(at.now_ms, route_name)
        return min(own, levels.strictest(at.now_ms, below)) if below else own

    return fold
