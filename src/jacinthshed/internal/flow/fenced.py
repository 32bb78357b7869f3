"""Flows of a non-idempotent call.

Once a fence is known outside this node, a copy of the request may arrive through
another entry node. From then on, that this node sent nothing does not prove that the
request did not run; only the fence's own target can prove that.
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
from .replies import is_intact, refusal_from_reply
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
    Stopped,
    TimedOut,
    Wait,
)
from .tools import CallTools
from .unfenced import CallFlow

RECONNECT_WAIT_MS = 100.0
REVOKE_RETRY_AFTER_MS = 1_000


def run_with_fence(call: Call, tools: CallTools, fence: Fence, token: str) -> CallFlow:
    """Submit under ``fence``, and again on a new link whenever the link fails."""
    attempt_id = f"{call.request_id}.{fence.nonce}"
    attempt = Attempt(attempt_id, tools.split(call, attempt_id), token)
    while True:
        event = yield OpenLink(fence.host)
        if isinstance(event, TimedOut):
            return _deadline_passed(token)
        if isinstance(event, Stopped):
            return _stopped(token)
        if not isinstance(event, LinkOpened):
            yield Wait(RECONNECT_WAIT_MS)
            continue
        if event.incarnation != fence.incarnation:
            return _incarnation_changed(token)
        event = yield Exchange(fence.host, tools.frame(call, attempt, fence.host))
        if isinstance(event, TimedOut):
            return _deadline_passed(token)
        if isinstance(event, Stopped):
            return _stopped(token)
        if isinstance(event, Replied) and is_intact(event.reply):
            return _call_end(call, tools, attempt_id, event, token)
        # The allowance was sent with the first copy, so a further copy carries none.
        attempt = attempt._replace(allowance=0)
        tools.log("rejoin", call=call, host=fence.host, reason="link broke")


def run_with_new_fence(call: Call, tools: CallTools, ballot: str = "") -> CallFlow:
    """Create a fence and run under it, first at the key's home target.

    When the target proves that the request did not run, the next target gets a new
    fence, as long as no other copy of the request holds the old one.
    """
    hosts = _candidate_hosts(call, tools)
    fence = yield from _mint_at_next_host(call, tools, hosts, ballot, None)
    if fence is None:
        return CallEnd(None, NO_TARGET)
    while True:
        token = encode_fence(fence)
        yield AnnounceFence(token)
        end = yield from run_with_fence(call, tools, fence, token)
        if not _may_use_next_target(call, tools, end):
            return end
        key_first_used_ms = fence.key_first_used_ms
        successor = yield from _mint_at_next_host(
            call, tools, hosts, ballot, key_first_used_ms
        )
        # Checked again, as another copy may have received the fence in the meantime.
        if successor is None or not _may_use_next_target(call, tools, end):
            return end
        if not tools.may_retry(call) or not tools.spend(call):
            return end
        tools.log("retry", call=call, host=successor.host, reason="not run")
        fence = successor


def run_after_revocation(call: Call, tools: CallTools) -> CallFlow:
    """Run the call only with proof that its key never ran, or join the run found.

    The proof consists of the targets' answers to the revocation of the key's older
    fences. A revocation that is superseded by a higher ballot is repeated above that
    ballot, and paid from the allowance.
    """
    lower_ballot = ""
    started_ms = tools.now_ms()
    while True:
        ballot = tools.next_ballot(lower_ballot)
        revocation = Revocation(
            request_id=f"{call.request_id}.{ballot}",
            key=call.key,
            ballot=ballot,
            targets=tools.revocation_targets(call),
            key_lifetime_ms=tools.key_lifetime_ms(),
            view_age_ms=tools.view_age_ms(),
        )
        answered = yield RevokeAll(tuple(revocation.frames()))
        _record_answers(revocation, answered, tools.now_ms() - started_ms)
        outcome = revocation.outcome()
        if isinstance(outcome, ProvenNotRun):
            return (yield from run_with_new_fence(call, tools, ballot))
        if isinstance(outcome, Found):
            fence = decode_fence(outcome.fence).unwrap()
            return (yield from run_with_fence(call, tools, fence, outcome.fence))
        if not isinstance(outcome, Superseded) or not tools.spend(call):
            return _unproven(outcome)
        lower_ballot = outcome.ballot


def _call_end(
    call: Call, tools: CallTools, attempt_id: str, event: Replied, token: str
) -> CallEnd:
    reply = event.reply
    tools.give_back(call, attempt_id, reply.allowance)
    if reply.status:
        return CallEnd(reply, None, token)
    return CallEnd(None, refusal_from_reply(reply), token)


def _may_use_next_target(call: Call, tools: CallTools, end: CallEnd) -> bool:
    if end.refusal is None or not is_retryable(end.refusal):
        return False
    return may_replace_fence(
        minted_here=True,
        announced=tools.is_fence_shared(call),
        verdict=end.refusal.verdict,
    )


def _candidate_hosts(call: Call, tools: CallTools) -> Iterator[str]:
    """Yield the key's home target, then other targets by load, each once."""
    tried: frozenset[str] = frozenset()
    home = next(iter(tools.preference_order(call)), None)
    if home is not None:
        tried |= {home}
        _log_home(call, tools, home)
        yield home
    while (host := tools.pick(call, tried)) is not None:
        tried |= {host}
        yield host


def _log_home(call: Call, tools: CallTools, home: str) -> None:
    """Log the choice of the home target; ``pick`` logs other choices."""
    fields = {"service": call.service, "host": home, "candidates": (home,)}
    tools.log("routing", call=call, **fields, reason="home")


def _mint_at_next_host(
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
        if isinstance(event, TimedOut | Stopped):
            return None
    return None


def _record_answers(revocation: Revocation, event: Event, waited_ms: float) -> None:
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


def _incarnation_changed(token: str) -> CallEnd:
    detail = "the node that this fence names has restarted and lost its records"
    return _refuse(Reason.FENCE_INCARNATION, detail, token)


def _deadline_passed(token: str) -> CallEnd:
    return _refuse(
        Reason.DEADLINE,
        "the deadline passed before a reply: resend the request with its fence",
        token,
    )


def _stopped(token: str) -> CallEnd:
    return _refuse(
        Reason.LEAVING,
        "the entry node stops before a reply: resend the request with its fence",
        token,
    )


def _refuse(reason: Reason, detail: str, token: str) -> CallEnd:
    return CallEnd(None, Refusal(Verdict.MAY_HAVE_RUN, reason, 0, detail), token)
