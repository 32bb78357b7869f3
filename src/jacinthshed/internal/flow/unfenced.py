"""Flow of a call without a fence: attempts at one target after another.

An idempotent call may be retried after any failure. A non-idempotent call is retried
only after proof that it did not run, and takes this flow only where its entry node is
the only one that could send it twice.
"""

from collections.abc import Generator

from ..verdict import Reason, Refusal, Verdict
from ..wire.frames import Reply
from .call import Attempt, Call
from .replies import is_intact, refusal_from_reply
from .retry_rules import (
    FAILED_ANSWER,
    NO_TARGET,
    is_retryable,
    refusal_from_event,
    worst_verdict,
)
from .steps import CallEnd, Event, Exchange, LinkFailed, Replied, Step, Stopped
from .tools import CallTools

CallFlow = Generator[Step, Event, CallEnd]


def run_unfenced(call: Call, tools: CallTools) -> CallFlow:
    """Try targets until one answers, or the allowance, time or targets are used up."""
    tried: frozenset[str] = frozenset()
    verdict = Verdict.NOT_RUN
    attempt_number = 0
    host = tools.pick(call, tried)
    refusal = NO_TARGET
    failed: Reply | None = None
    while host is not None:
        attempt_number += 1
        attempt_id = f"{call.request_id}.{attempt_number}"
        attempt = Attempt(attempt_id, tools.split(call, attempt_id), "")
        frame = tools.frame(call, attempt, host)
        event = yield Exchange(host, frame, is_repeatable=call.idempotent)
        reply = _intact_reply(event)
        if reply is not None:
            tools.give_back(call, attempt_id, reply.allowance)
            if reply.status and not tools.is_failed(reply):
                return CallEnd(reply, None)
            failed = reply if reply.status else failed
        refusal = _refusal(reply, event)
        verdict = worst_verdict(verdict, refusal.verdict)
        tried |= {host}
        if isinstance(event, Stopped):
            break
        unsent = isinstance(event, LinkFailed) and not event.sent
        if unsent:
            tools.give_back(call, attempt_id, attempt.allowance)
        host = _next_host(call, tools, tried, refusal, unsent=unsent)
    if failed is not None:
        # A failed answer of the backend server is more specific than a refusal.
        return CallEnd(failed, None)
    return CallEnd(None, refusal._replace(verdict=verdict))


def _refusal(reply: Reply | None, event: Event) -> Refusal:
    if reply is None:
        return refusal_from_event(event)
    return FAILED_ANSWER if reply.status else refusal_from_reply(reply)


def _next_host(
    call: Call,
    tools: CallTools,
    tried: frozenset[str],
    refusal: Refusal,
    *,
    unsent: bool,
) -> str | None:
    """Return the host for the next attempt, or ``None`` to end the call.

    The attempt is paid from the allowance, except when the last one was not sent: it
    then costs no retry.
    """
    if not unsent and not _is_retry_allowed(call, tools, refusal):
        return None
    host = tools.pick(call, tried)
    if host is None or unsent:
        return host
    if not tools.spend(call):
        return None
    tools.log("retry", call=call, host=host, reason=refusal.reason)
    return host


def _is_retry_allowed(call: Call, tools: CallTools, refusal: Refusal) -> bool:
    if not call.idempotent and refusal.verdict is not Verdict.NOT_RUN:
        return False
    if refusal.reason is Reason.LEAVING:
        # The node refused it, so the attempt never loaded a backend server.
        return True
    return is_retryable(refusal) and tools.may_retry(call)


def _intact_reply(event: Event) -> Reply | None:
    if isinstance(event, Replied) and is_intact(event.reply):
        return event.reply
    return None
