"""Implements ``CallTools``, which call flows use, on the state of one node."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from ..adapters.http_adapter import HttpAdapter
from ..admission.shed_level import ShedLevel
from ..bundle.model import FencePolicy
from ..discovery.source_revision import from_ordinal
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
from .downstream_levels import may_shed
from .observer import ExchangeObserver
from .state import NodeState

NODE_CALLER = "node"
RESEND_RETRY_AFTER_MS = 2_000
_UNAVAILABLE = frozenset({Reason.UNREACHABLE, Reason.NO_BUNDLE, Reason.CRASHED})


class CallEnvironment(NamedTuple):
    """Dependencies of the functions in ``CallTools``.

    ``target_id_of`` takes a service and a host and returns the target's id, or ``""``.
    ``requires_target_id`` is true if each request has to carry its target's id.
    """

    state: NodeState
    clock: Clock
    policy: Callable[[], Policy | None]
    adapter: HttpAdapter
    target_id_of: Callable[[str, str], str]
    requires_target_id: bool
    log: LogDecision

    @property
    def fence_policy(self) -> FencePolicy:
        """The fence times of the bundle in force, or the defaults."""
        current = self.policy()
        return current.bundle.fence if current else FencePolicy()


def build_call_tools(env: CallEnvironment) -> CallTools:
    """Return the ``CallTools`` of this node's entry and egress."""
    state, clock = env.state, env.clock
    return CallTools(
        now_ms=clock.now_ms,
        wall_ms=clock.wall_ms,
        pick=partial(_pick, env),
        preference_order=partial(_preference_order, env),
        revocation_targets=partial(_revocation_targets, env),
        split=partial(_split, env),
        spend=lambda call: state.ledger.spend(call.ledger_id),
        give_back=lambda call, attempt_id, unused: state.ledger.give_back(
            call.ledger_id, attempt_id, unused
        ),
        may_retry=partial(_may_retry, env),
        is_failed=env.adapter.is_failed,
        is_fence_shared=partial(_is_fence_shared, env),
        early_refusal=partial(_early_refusal, env),
        record_refusal=partial(_record_refusal, env),
        mint=partial(_mint, env),
        next_ballot=lambda above: state.ballots.generate(clock.wall_ms(), above=above),
        key_lifetime_ms=lambda: env.fence_policy.key_lifetime_ms,
        view_age_ms=partial(_view_age_ms, env),
        frame=partial(_build_submit, env),
        log=partial(_log_call, env),
    )


def build_observer(env: CallEnvironment, call: Call) -> ExchangeObserver:
    """Return the observer that records loads and shed levels from ``call``."""
    state = env.state

    def on_ended(host: str, reply: Reply | None) -> None:
        now_ms = env.clock.now_ms()
        state.picker.done(host)
        if reply is None:
            return
        if reply.reason in _UNAVAILABLE:
            # Its refusals are fast; routing by load alone would send it more work.
            state.picker.unreachable(now_ms, host)
            return
        state.picker.record_reply(now_ms, host, reply.load, reply.slowdown_pct)
        if not call.parent_id and reply.status:
            failed = env.adapter.is_failed(reply)
            state.throttle.record(
                call.route, failed=failed, calls_done=reply.calls_done
            )
        level = ShedLevel(reply.shed_rank, reply.shed_hash)
        state.levels.record(now_ms, call.route, host, level)
        if reply.reason in (Reason.SHED, Reason.LEAVING):
            state.picker.refused(now_ms, host, reply.retry_after_ms)

    return ExchangeObserver(on_sent=state.picker.sent, on_ended=on_ended)


def _pick(env: CallEnvironment, call: Call, tried: frozenset[str]) -> str | None:
    now_ms = env.clock.now_ms()
    choice = env.state.picker.pick(now_ms, call.service, tried)
    if choice and env.requires_target_id:
        # Without the id, the request could run at a new target at the same address.
        while choice and not env.target_id_of(call.service, choice.host):
            tried |= {choice.host}
            choice = env.state.picker.pick(now_ms, call.service, tried)
    env.log(
        "routing",
        request_id=call.request_id,
        service=call.service,
        host=choice.host if choice else None,
        candidates=choice.candidates if choice else (),
        reason=choice.reason if choice else "no target",
        load=choice.load if choice else 0.0,
        load_age_ms=choice.load_age_ms if choice else -1,
        directory_revision=from_ordinal(env.state.directory.revision).revision,
    )
    return choice.host if choice else None


def _preference_order(env: CallEnvironment, call: Call) -> list[str]:
    members = env.state.view.members(call.service)
    return preference_order(call.key, [member.host for member in members])


def _revocation_targets(
    env: CallEnvironment, call: Call
) -> tuple[RevocationTarget, ...]:
    view = env.state.view
    fence_policy = env.fence_policy
    queryable = {
        record.host: record.incarnation for record in view.queryable(call.service)
    }
    # A fence can still run until its own lifetime after its key was first sent.
    window_ms = fence_policy.key_lifetime_ms + fence_policy.lifetime_ms
    gone = view.departed(call.service, window_ms, env.clock.now_ms())
    departed = {
        record.host
        for record in gone
        if queryable.get(record.host) != record.incarnation
    }
    asked = preference_order(call.key, queryable)
    return (
        *(RevocationTarget(host, False) for host in asked),
        *(RevocationTarget(host, True) for host in sorted(departed)),
    )


def _view_age_ms(env: CallEnvironment) -> float:
    """Return the time since the view agreed with a peer's, in ms; 0 without peers."""
    view = env.state.view
    if not view.hosts() and not view.contacts():
        return 0.0
    return env.clock.now_ms() - view.last_agreed_ms


def _split(env: CallEnvironment, call: Call, attempt_id: str) -> int:
    policy = env.policy()
    route = policy.bundle.routes.get(call.route) if policy else None
    calls_others = route is not None and bool(route.calls)
    return env.state.ledger.split(call.ledger_id, attempt_id, calls_others=calls_others)


def _may_retry(env: CallEnvironment, call: Call) -> bool:
    if not env.state.suspects.may_retry(request_fingerprint(call)):
        return False
    return env.state.resend_limiter.try_resend(NODE_CALLER, env.clock.now_ms())


def _is_fence_shared(env: CallEnvironment, call: Call) -> bool:
    """Return whether a caller or a second nested copy holds the fence of ``call``."""
    if not call.parent_id:
        return True
    return env.state.contexts.is_fence_shared(call.parent_id, call.key)


def _early_refusal(env: CallEnvironment, call: Call) -> Refusal | None:
    now_ms = env.clock.now_ms()
    state = env.state
    fingerprint = request_fingerprint(call)
    state.resend_limiter.record_fresh(NODE_CALLER)
    check = state.suspects.check(now_ms, fingerprint)
    if isinstance(check, Quarantined):
        return Refusal(Verdict.NOT_RUN, Reason.QUARANTINED, check.retry_after_ms)
    if not call.parent_id and not _is_within_resend_limit(env, call):
        env.log("resend_refused", request_id=call.request_id, caller=call.caller)
        return Refusal(Verdict.NOT_RUN, Reason.RETRY_LIMIT, RESEND_RETRY_AFTER_MS)
    if not may_shed(env.policy(), is_call=bool(call.parent_id)):
        return None
    fraction = state.random.random()
    wait_ms = state.levels.refusal_wait_ms(
        now_ms, (call.route,), call.rank, call.root_hash, fraction
    )
    if wait_ms is None:
        return None if call.parent_id else _throttle_root(env, call, fraction)
    level = state.levels.strictest(now_ms, (call.route,))
    env.log(
        "shed_at_entry",
        request_id=call.request_id,
        route=call.route,
        rank=call.rank,
        shed_rank=level.rank,
        retry_after_ms=wait_ms,
    )
    return Refusal(Verdict.NOT_RUN, Reason.SHED, wait_ms)


def _throttle_root(env: CallEnvironment, call: Call, fraction: float) -> Refusal | None:
    throttle = env.state.throttle
    wait_ms = throttle.refusal_wait_ms(call.route, fraction)
    if wait_ms is None:
        return None
    env.log(
        "root_held_back",
        request_id=call.request_id,
        route=call.route,
        share=round(throttle.share(call.route), 2),
        retry_after_ms=wait_ms,
    )
    detail = "nearly all requests of this route fail in a downstream service"
    return Refusal(Verdict.NOT_RUN, Reason.SHED, wait_ms, detail)


def _is_within_resend_limit(env: CallEnvironment, call: Call) -> bool:
    """Return whether the resend limit admits this request; fresh ones always pass."""
    state = env.state
    now_ms = env.clock.now_ms()
    if call.is_resend or state.retry_after_tracker.is_early(now_ms, call.key):
        return state.resend_limiter.try_resend(call.caller, now_ms)
    state.resend_limiter.record_fresh(call.caller)
    return True


def _record_refusal(env: CallEnvironment, call: Call, refusal: Refusal) -> None:
    now_ms = env.clock.now_ms()
    env.state.retry_after_tracker.record(now_ms, call.key, refusal.retry_after_ms)


def _mint(
    env: CallEnvironment,
    host: str,
    incarnation: int,
    ballot: str,
    key_first_used_ms: int | None = None,
) -> Fence:
    return mint(
        host=host,
        incarnation=incarnation,
        wall_ms=env.clock.wall_ms(),
        lifetime_ms=env.fence_policy.lifetime_ms,
        ballot=ballot,
        random=env.state.random,
        key_first_used_ms=key_first_used_ms,
    )


def _build_submit(
    env: CallEnvironment, call: Call, attempt: Attempt, host: str
) -> Submit:
    order = env.state.store.order
    return submit_frame(
        call,
        attempt,
        now_ms=env.clock.now_ms(),
        version=order.version,
        digest=order.digest,
        target_id=env.target_id_of(call.service, host),
    )


def _log_call(
    env: CallEnvironment, event: str, *, call: Call, **fields: object
) -> None:
    env.log(event, request_id=call.request_id, route=call.route, **fields)
