"""Flows of a non-idempotent call.

From the moment at which a fence is known to anybody but this node, nothing that this
node did or did not send proves that the request did not run: a copy may have come
through another entry node. From then on only the fence's own target can prove it.
"""

from collections.abc import Generator, Iterator

from ..fence.fence import Fence, decode_fence, encode_fence
from ..fence.revocation import (
    Found,
    MayHaveRun,
    Outcome as RevocationOutcome,
    ProvenNotRun,
    Revocation,
    Superseded,
)
from ..fence.strategy import may_replace_fence
from ..verdict import Reason, Refusal, Verdict
from .call import Attempt, Call
from .replies import is_whole, refusal_of
from .retry_rules import NO_TARGET, is_retryable
from .steps import (
    AnnounceFence,
    CallEnd,
    Event,
    Exchange,
    LinkOpened,
    OpenLink,
    Replied,
    RevokeAll,
    RevokeAnswers,
    Step,
    TimedOut,
    Wait,
)
from .tools import CallTools
from .unfenced import CallFlow

REJOIN_WAIT_MS = 100.0
REVOKE_RETRY_AFTER_MS = 1_000


def run_with_fence(call: Call, tools: CallTools, fence: Fence, token: str) -> CallFlow:
    """Submit under ``fence``, joining again by a new link when one breaks."""
    attempt_id = f"{call.request_id}.{fence.nonce}"
    attempt = Attempt(attempt_id, tools.split(call, attempt_id), token)
    while True:
        event = yield OpenLink(fence.host)
        if isinstance(event, TimedOut):
            return _late(token)
        if not isinstance(event, LinkOpened):
            yield Wait(REJOIN_WAIT_MS)
            continue
        if event.incarnation != fence.incarnation:
            return _other_incarnation(token)
        event = yield Exchange(fence.host, tools.frame(call, attempt, fence.host))
        if isinstance(event, TimedOut):
            return _late(token)
        if isinstance(event, Replied) and is_whole(event.reply):
            return _end_of(call, tools, attempt_id, event, token)
        # The allowance travelled with the first copy; a further copy takes none.
        attempt = attempt._replace(allowance=0)
        tools.log("rejoin", call=call, host=fence.host, reason="link broke")


def run_new(call: Call, tools: CallTools, ballot: str = "") -> CallFlow:
    """Mint a fence and run under it, at the key's home first."""
    hosts = _hosts(call, tools)
    fence = yield from _mint_at_next(call, tools, hosts, ballot, None)
    if fence is None:
        return CallEnd(None, NO_TARGET)
    while True:
        token = encode_fence(fence)
        yield AnnounceFence(token)
        end = yield from run_with_fence(call, tools, fence, token)
        if not _may_go_on(call, tools, end):
            return end
        key_first_used_ms = fence.key_first_used_ms
        successor = yield from _mint_at_next(
            call, tools, hosts, ballot, key_first_used_ms
        )
        # Asked again, as another copy may have taken the fence up meanwhile.
        if successor is None or not _may_go_on(call, tools, end):
            return end
        if not tools.may_retry(call) or not tools.spend(call):
            return end
        tools.log("retry", call=call, host=successor.host, reason="not run")
        fence = successor


def run_bare(call: Call, tools: CallTools) -> CallFlow:
    """Prove that the key never ran before running it, or find where it did."""
    above = ""
    began_ms = tools.now_ms()
    while True:
        ballot = tools.next_ballot(above)
        revocation = Revocation(
            request_id=f"{call.request_id}.{ballot}",
            key=call.key,
            ballot=ballot,
            targets=tools.revocation_targets(call),
            key_lifetime_ms=tools.key_lifetime_ms(),
            view_age_ms=tools.view_age_ms(),
        )
        answered = yield RevokeAll(tuple(revocation.frames()))
        _note_answers(revocation, answered, tools.now_ms() - began_ms)
        outcome = revocation.outcome()
        if isinstance(outcome, ProvenNotRun):
            return (yield from run_new(call, tools, ballot))
        if isinstance(outcome, Found):
            fence = decode_fence(outcome.fence).unwrap()
            return (yield from run_with_fence(call, tools, fence, outcome.fence))
        if not isinstance(outcome, Superseded) or not tools.spend(call):
            return _unproven(outcome)
        above = outcome.ballot


def _end_of(
    call: Call, tools: CallTools, attempt_id: str, event: Replied, token: str
) -> CallEnd:
    reply = event.reply
    tools.give_back(call, attempt_id, reply.allowance)
    if reply.status:
        return CallEnd(reply, None, token)
    return CallEnd(None, refusal_of(reply), token)


def _may_go_on(call: Call, tools: CallTools, end: CallEnd) -> bool:
    if end.refusal is None or not is_retryable(end.refusal):
        return False
    return may_replace_fence(
        minted_here=True,
        announced=tools.is_fence_shared(call),
        verdict=end.refusal.verdict,
    )


def _hosts(call: Call, tools: CallTools) -> Iterator[str]:
    """Yield the key's home, then targets by load, each once."""
    tried: frozenset[str] = frozenset()
    home = next(iter(tools.home_order(call)), None)
    if home is not None:
        tried |= {home}
        _log_home(call, tools, home)
        yield home
    while (host := tools.pick(call, tried)) is not None:
        tried |= {host}
        yield host


def _log_home(call: Call, tools: CallTools, home: str) -> None:
    """Log the choice of the home, as other choices are logged by ``pick``."""
    fields = {"service": call.service, "host": home, "candidates": (home,)}
    tools.log("routing", call=call, **fields, reason="home")


def _mint_at_next(
    call: Call,
    tools: CallTools,
    hosts: Iterator[str],
    ballot: str,
    key_first_used_ms: int | None,
) -> Generator[Step, Event, Fence | None]:
    for host in hosts:
        event = yield OpenLink(host)
        if isinstance(event, LinkOpened):
            return tools.mint(host, event.incarnation, ballot, key_first_used_ms)
        if isinstance(event, TimedOut):
            return None
    return None


def _note_answers(revocation: Revocation, event: Event, waited_ms: float) -> None:
    if not isinstance(event, RevokeAnswers):
        return
    for host, answer in event.answers:
        if answer is None:
            revocation.on_unreachable(host)
        else:
            revocation.on_revoked(host, answer, waited_ms=waited_ms)


def _unproven(outcome: RevocationOutcome) -> CallEnd:
    detail = "it can't be proven that this key did not run: resend it later"
    retry_after_ms = REVOKE_RETRY_AFTER_MS
    if isinstance(outcome, MayHaveRun):
        detail = f"it can't be proven that this key did not run: {outcome.detail}"
        retry_after_ms = outcome.retry_after_ms
    refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.UNPROVEN, retry_after_ms, detail)
    return CallEnd(None, refusal)


def _other_incarnation(token: str) -> CallEnd:
    detail = "the node that this fence names has restarted and lost its records"
    return _refuse(Reason.FENCE_INCARNATION, detail, token)


def _late(token: str) -> CallEnd:
    return _refuse(Reason.DEADLINE, "resend it with its fence", token)


def _refuse(reason: Reason, detail: str, token: str) -> CallEnd:
    return CallEnd(None, Refusal(Verdict.MAY_HAVE_RUN, reason, 0, detail), token)
