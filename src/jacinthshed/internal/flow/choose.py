"""Selection of the flow that carries out a call."""

from ..fence.strategy import CallerFence, FirstUse, GenerateKey, Unfenced
from ..verdict import Refusal, Verdict
from .call_reader import ParsedCall
from .fenced import run_after_revocation, run_with_fence, run_with_new_fence
from .steps import CallEnd
from .tools import CallTools
from .unfenced import CallFlow, run_unfenced


def choose_flow(parsed: ParsedCall, tools: CallTools) -> CallFlow:
    """Return the flow for the request's route, idempotency key and fence."""
    call, strategy = parsed
    if isinstance(strategy, CallerFence):
        # Only the fence's target knows whether the request ran: don't refuse it here.
        return run_with_fence(call, tools, strategy.fence, strategy.token)
    refusal = tools.early_refusal(call)
    if isinstance(strategy, Unfenced):
        return _end(refusal) if refusal else run_unfenced(call, tools)
    if isinstance(strategy, FirstUse | GenerateKey):
        return _end(refusal) if refusal else run_with_new_fence(call, tools)
    if refusal:
        return _end(refusal._replace(verdict=Verdict.MAY_HAVE_RUN))
    return run_after_revocation(call, tools)


def _end(refusal: Refusal) -> CallFlow:
    return CallEnd(None, refusal)
    yield  # Makes this function a generator that ends without a step.
