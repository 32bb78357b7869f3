"""Choice of the flow for a call."""

from ..fence.strategy import CallerFence, FirstUse, GenerateKey, Unfenced
from ..verdict import Refusal, Verdict
from .call_reader import ParsedCall
from .fenced import run_bare, run_new, run_with_fence
from .steps import CallEnd
from .tools import CallTools
from .unfenced import CallFlow, run_unfenced


def choose_flow(parsed: ParsedCall, tools: CallTools) -> CallFlow:
    """Return the flow that the request's route and headers ask for."""
    call, path = parsed
    if isinstance(path, CallerFence):
        # A held fence is never refused here: only its target knows what became of it.
        return run_with_fence(call, tools, path.fence, path.token)
    refusal = tools.early_refusal(call)
    if isinstance(path, Unfenced):
        return _end(refusal) if refusal else run_unfenced(call, tools)
    if isinstance(path, FirstUse | GenerateKey):
        return _end(refusal) if refusal else run_new(call, tools)
    if refusal:
        return _end(refusal._replace(verdict=Verdict.MAY_HAVE_RUN))
    return run_bare(call, tools)


def _end(refusal: Refusal) -> CallFlow:
    return CallEnd(None, refusal)
    yield  # Makes this function a flow, one without a step.
