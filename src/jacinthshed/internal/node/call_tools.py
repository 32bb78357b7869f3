"""The functions that call flows draw on, over the state of one node."""

from collections.abc import Callable

from ..admission.shed_level import ShedLevel
from ..bundle.model import FencePolicy
from ..fence.fence import Fence, mint
from ..fence.revocation import RevocationTarget
from ..flow.call import Attempt, Call, submit_frame
from ..flow.policy import Policy
from ..flow.tools import CallTools
from ..quarantine.decisions import Quarantined
from ..quarantine.fingerprint import fingerprint
from ..routing.rendezvous import home_order
from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Reply, Submit
from .clock import Clock
from .observer import ExchangeObserver
from .state import NodeState

NODE_CALLER = "node"
_NO_SERVICE = frozenset({Reason.UNREACHABLE, Reason.NO_BUNDLE, Reason.CRASHED})

LogDecision = Callable[..., None]


def make_tools(
    *,
    state: NodeState,
    clock: Clock,
    policy: Callable[[], Policy | None],
    log: LogDecision,
) -> CallTools:
    """Return the tools of this node's entry and egress."""

    def fences() -> FencePolicy:
        current = policy()
        return current.bundle.fence if current else FencePolicy()

    def pick(call: Call, tried: frozenset[str]) -> str | None:
        choice = state.picker.pick(clock.now_ms(), call.service, tried)
        log(
            "routing",
            request_id=call.request_id,
            service=call.service,
            host=choice.host if choice else None,
            candidates=choice.candidates if choice else (),
            reason=choice.reason if choice else "no target",
        )
        return choice.host if choice else None

    def home(call: Call) -> list[str]:
        members = state.view.members(call.service)
        return home_order(call.key, [member.host for member in members])

    def revoke_targets(call: Call) -> tuple[RevocationTarget, ...]:
        lifetime_ms = fences().key_lifetime_ms
        gone = state.view.departed(call.service, lifetime_ms, clock.now_ms())
        departed = {record.host for record in gone}
        asked = [RevocationTarget(host, False) for host in home(call)]
        return (*asked, *(RevocationTarget(host, True) for host in departed))

    def split(call: Call, attempt_id: str) -> int:
        below = len(call.services_below) > 1
        return state.ledger.split(call.ledger_id, attempt_id, calls_others=below)

    def may_retry(call: Call) -> bool:
        mark = _mark(call)
        if not state.suspects.may_retry(mark):
            return False
        return state.resends.try_resend(NODE_CALLER, clock.now_ms())

    def may_replace_fence(call: Call) -> bool:
        if not call.parent_id:
            return False
        return not state.contexts.is_shared(call.parent_id, call.key)

    def refuse(call: Call) -> Refusal | None:
        now_ms = clock.now_ms()
        state.resends.fresh(NODE_CALLER)
        check = state.suspects.check(now_ms, _mark(call))
        if isinstance(check, Quarantined):
            retry_after_ms = check.retry_after_ms
            return Refusal(Verdict.NOT_RUN, Reason.QUARANTINED, retry_after_ms)
        fraction = state.random.random()
        wait_ms = state.levels.refuses(
            now_ms, (call.route,), call.rank, call.root_hash, fraction
        )
        if wait_ms is None:
            return None
        log("shed_at_entry", request_id=call.request_id, route=call.route)
        return Refusal(Verdict.NOT_RUN, Reason.SHED, wait_ms)

    def mint_fence(host: str, incarnation: int, ballot: str) -> Fence:
        return mint(
            host=host,
            incarnation=incarnation,
            wall_ms=clock.wall_ms(),
            lifetime_ms=fences().lifetime_ms,
            ballot=ballot,
            random=state.random,
        )

    def frame(call: Call, attempt: Attempt) -> Submit:
        order = state.store.order
        return submit_frame(
            call,
            attempt,
            now_ms=clock.now_ms(),
            version=order.version,
            digest=order.digest,
        )

    def log_call(event: str, *, call: Call, **fields: object) -> None:
        log(event, request_id=call.request_id, route=call.route, **fields)

    return CallTools(
        now_ms=clock.now_ms,
        wall_ms=clock.wall_ms,
        pick=pick,
        home_order=home,
        revoke_targets=revoke_targets,
        split=split,
        spend=lambda call: state.ledger.spend(call.ledger_id),
        give_back=lambda call, attempt_id, unused: state.ledger.give_back(
            call.ledger_id, attempt_id, unused
        ),
        may_retry=may_retry,
        may_replace_fence=may_replace_fence,
        refuse=refuse,
        mint=mint_fence,
        next_ballot=lambda above: state.ballots.make(clock.wall_ms(), above=above),
        key_lifetime_ms=lambda: fences().key_lifetime_ms,
        frame=frame,
        log=log_call,
    )


def make_observer(*, state: NodeState, clock: Clock, call: Call) -> ExchangeObserver:
    """Return what learns loads and shed levels from the exchanges of ``call``."""

    def ended(host: str, reply: Reply | None) -> None:
        now_ms = clock.now_ms()
        state.picker.done(host)
        if reply is None:
            return
        if reply.reason in _NO_SERVICE:
            # It answers fast and would otherwise draw more and more work.
            state.picker.unreachable(now_ms, host)
            return
        state.picker.note_reply(now_ms, host, reply.load)
        level = ShedLevel(reply.shed_rank, reply.shed_hash)
        state.levels.note(now_ms, call.route, host, level)
        if reply.reason in (Reason.SHED, Reason.LEAVING):
            state.picker.refused(now_ms, host, reply.retry_after_ms)

    return ExchangeObserver(sent=state.picker.sent, ended=ended)


def _mark(call: Call) -> int:
    return fingerprint(
        route=call.route, method=call.method, target=call.target, body=call.body
    )
