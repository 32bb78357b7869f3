"""The functions that call flows draw on, over the state of one node."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from ..admission.shed_level import ShedLevel
from ..bundle.model import FencePolicy
from ..edge.http_adapter import HttpAdapter
from ..fence.fence import Fence, mint
from ..fence.revocation import RevocationTarget
from ..flow.call import Attempt, Call, submit_frame
from ..flow.policy import Policy
from ..flow.request_fingerprint import request_fingerprint
from ..flow.tools import CallTools
from ..quarantine.decisions import Quarantined
from ..routing.rendezvous import preference_order
from ..telemetry.log import LogDecision
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Reply, Submit
from .clock import Clock
from .levels_below import may_shed
from .observer import ExchangeObserver
from .state import NodeState

NODE_CALLER = "node"
RESEND_WAIT_MS = 2_000
_NO_SERVICE = frozenset({Reason.UNREACHABLE, Reason.NO_BUNDLE, Reason.CRASHED})


class CallSurroundings(NamedTuple):
    """What the tools of a call are bound to.

    ``target_id_of`` gives the id of the target of a service on a host, or ``""``;
    ``names_targets`` says that each request has to name its target.
    """

    state: NodeState
    clock: Clock
    policy: Callable[[], Policy | None]
    edge: HttpAdapter
    target_id_of: Callable[[str, str], str]
    names_targets: bool
    log: LogDecision

    @property
    def fences(self) -> FencePolicy:
        """The times of fences that are in force."""
        current = self.policy()
        return current.bundle.fence if current else FencePolicy()


def make_tools(around: CallSurroundings) -> CallTools:
    """Return the tools of this node's entry and egress."""
    state, clock = around.state, around.clock
    return CallTools(
        now_ms=clock.now_ms,
        wall_ms=clock.wall_ms,
        pick=partial(_pick, around),
        home_order=partial(_home_order, around),
        revocation_targets=partial(_revoke_targets, around),
        split=partial(_split, around),
        spend=lambda call: state.ledger.spend(call.ledger_id),
        give_back=lambda call, attempt_id, unused: state.ledger.give_back(
            call.ledger_id, attempt_id, unused
        ),
        may_retry=partial(_may_retry, around),
        is_failed=around.edge.is_failed,
        is_fence_shared=partial(_is_fence_known, around),
        early_refusal=partial(_refuse, around),
        record_refusal=partial(_note_refusal, around),
        mint=partial(_mint, around),
        next_ballot=lambda above: state.ballots.generate(clock.wall_ms(), above=above),
        key_lifetime_ms=lambda: around.fences.key_lifetime_ms,
        view_age_ms=partial(_view_age_ms, around),
        frame=partial(_frame, around),
        log=partial(_log_call, around),
    )


def make_observer(around: CallSurroundings, call: Call) -> ExchangeObserver:
    """Return what learns loads and shed levels from the exchanges of ``call``."""
    state = around.state

    def ended(host: str, reply: Reply | None) -> None:
        now_ms = around.clock.now_ms()
        state.picker.done(host)
        if reply is None:
            return
        if reply.reason in _NO_SERVICE:
            # It answers fast and would otherwise draw more and more work.
            state.picker.unreachable(now_ms, host)
            return
        state.picker.record_reply(now_ms, host, reply.load)
        if not call.parent_id and reply.status:
            failed = around.edge.is_failed(reply)
            state.throttle.record(
                call.route, failed=failed, calls_done=reply.calls_done
            )
        level = ShedLevel(reply.shed_rank, reply.shed_hash)
        state.levels.record(now_ms, call.route, host, level)
        if reply.reason in (Reason.SHED, Reason.LEAVING):
            state.picker.refused(now_ms, host, reply.retry_after_ms)

    return ExchangeObserver(sent=state.picker.sent, ended=ended)


def _pick(around: CallSurroundings, call: Call, tried: frozenset[str]) -> str | None:
    now_ms = around.clock.now_ms()
    choice = around.state.picker.pick(now_ms, call.service, tried)
    if choice and around.names_targets:
        # A request without the id of its target could run at whatever has its address.
        while choice and not around.target_id_of(call.service, choice.host):
            tried |= {choice.host}
            choice = around.state.picker.pick(now_ms, call.service, tried)
    around.log(
        "routing",
        request_id=call.request_id,
        service=call.service,
        host=choice.host if choice else None,
        candidates=choice.candidates if choice else (),
        reason=choice.reason if choice else "no target",
        load=choice.load if choice else 0.0,
        load_age_ms=choice.load_age_ms if choice else -1,
        directory_revision=around.state.directory.revision,
    )
    return choice.host if choice else None


def _home_order(around: CallSurroundings, call: Call) -> list[str]:
    members = around.state.view.members(call.service)
    return preference_order(call.key, [member.host for member in members])


def _revoke_targets(
    around: CallSurroundings, call: Call
) -> tuple[RevocationTarget, ...]:
    view = around.state.view
    fences = around.fences
    askable = {
        record.host: record.incarnation for record in view.queryable(call.service)
    }
    # A fence runs for as long as it lives after its key was first sent.
    window_ms = fences.key_lifetime_ms + fences.lifetime_ms
    gone = view.departed(call.service, window_ms, around.clock.now_ms())
    departed = {
        record.host for record in gone if askable.get(record.host) != record.incarnation
    }
    asked = preference_order(call.key, askable)
    return (
        *(RevocationTarget(host, False) for host in asked),
        *(RevocationTarget(host, True) for host in sorted(departed)),
    )


def _view_age_ms(around: CallSurroundings) -> float:
    """Return how long ago the view agreed with a peer's; 0 for a node by itself."""
    view = around.state.view
    if not view.hosts() and not view.contacts():
        return 0.0
    return around.clock.now_ms() - view.last_agreed_ms


def _split(around: CallSurroundings, call: Call, attempt_id: str) -> int:
    policy = around.policy()
    route = policy.bundle.routes.get(call.route) if policy else None
    calls_others = route is not None and bool(route.calls)
    return around.state.ledger.split(
        call.ledger_id, attempt_id, calls_others=calls_others
    )


def _may_retry(around: CallSurroundings, call: Call) -> bool:
    if not around.state.suspects.may_retry(request_fingerprint(call)):
        return False
    return around.state.resends.try_resend(NODE_CALLER, around.clock.now_ms())


def _is_fence_known(around: CallSurroundings, call: Call) -> bool:
    """Return whether a caller was told the fence, or a second nested copy holds it."""
    if not call.parent_id:
        return True
    return around.state.contexts.is_fence_shared(call.parent_id, call.key)


def _refuse(around: CallSurroundings, call: Call) -> Refusal | None:
    now_ms = around.clock.now_ms()
    state = around.state
    mark = request_fingerprint(call)
    state.resends.record_fresh(NODE_CALLER)
    check = state.suspects.check(now_ms, mark)
    if isinstance(check, Quarantined):
        return Refusal(Verdict.NOT_RUN, Reason.QUARANTINED, check.retry_after_ms)
    if not call.parent_id and not _is_within_resends(around, call):
        around.log("resend_refused", request_id=call.request_id, caller=call.caller)
        return Refusal(Verdict.NOT_RUN, Reason.RETRY_LIMIT, RESEND_WAIT_MS)
    if not may_shed(around.policy(), is_call=bool(call.parent_id)):
        return None
    fraction = state.random.random()
    wait_ms = state.levels.refusal_wait_ms(
        now_ms, (call.route,), call.rank, call.root_hash, fraction
    )
    if wait_ms is None:
        return None if call.parent_id else _throttle(around, call, fraction)
    level = state.levels.strictest(now_ms, (call.route,))
    around.log(
        "shed_at_entry",
        request_id=call.request_id,
        route=call.route,
        rank=call.rank,
        shed_rank=level.rank,
        retry_after_ms=wait_ms,
    )
    return Refusal(Verdict.NOT_RUN, Reason.SHED, wait_ms)


def _throttle(around: CallSurroundings, call: Call, fraction: float) -> Refusal | None:
    throttle = around.state.throttle
    wait_ms = throttle.refusal_wait_ms(call.route, fraction)
    if wait_ms is None:
        return None
    around.log(
        "root_held_back",
        request_id=call.request_id,
        route=call.route,
        share=round(throttle.share(call.route), 2),
        retry_after_ms=wait_ms,
    )
    detail = "nearly all requests of this route fail below"
    return Refusal(Verdict.NOT_RUN, Reason.SHED, wait_ms, detail)


def _is_within_resends(around: CallSurroundings, call: Call) -> bool:
    """Return whether the caller may send this now; a fresh request always may."""
    state = around.state
    now_ms = around.clock.now_ms()
    if call.is_resend or state.refused.is_early(now_ms, call.key):
        return state.resends.try_resend(call.caller, now_ms)
    state.resends.record_fresh(call.caller)
    return True


def _note_refusal(around: CallSurroundings, call: Call, refusal: Refusal) -> None:
    now_ms = around.clock.now_ms()
    around.state.refused.record(now_ms, call.key, refusal.retry_after_ms)


def _mint(
    around: CallSurroundings,
    host: str,
    incarnation: int,
    ballot: str,
    key_first_used_ms: int | None = None,
) -> Fence:
    return mint(
        host=host,
        incarnation=incarnation,
        wall_ms=around.clock.wall_ms(),
        lifetime_ms=around.fences.lifetime_ms,
        ballot=ballot,
        random=around.state.random,
        key_first_used_ms=key_first_used_ms,
    )


def _frame(around: CallSurroundings, call: Call, attempt: Attempt, host: str) -> Submit:
    order = around.state.store.order
    return submit_frame(
        call,
        attempt,
        now_ms=around.clock.now_ms(),
        version=order.version,
        digest=order.digest,
        target_id=around.target_id_of(call.service, host),
    )


def _log_call(
    around: CallSurroundings, event: str, *, call: Call, **fields: object
) -> None:
    around.log(event, request_id=call.request_id, route=call.route, **fields)
