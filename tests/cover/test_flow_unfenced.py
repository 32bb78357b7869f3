"""The flow of an idempotent call, driven step by step."""

from collections import Counter

import pytest

from jacinthshed.internal.flow.backend_outcome import BackendAnswer
from jacinthshed.internal.flow.replies import answer_reply
from jacinthshed.internal.flow.steps import Exchange, Replied
from jacinthshed.internal.flow.unfenced import run_unfenced
from tests.common.flows import HOSTS, idempotent_call, stub_tools


def answered(step, body):
    return answer_reply(step.submit.request_id, BackendAnswer(200, (), body))


def test_a_damaged_answer_is_never_given_and_another_target_is_tried():
    seen = Counter()
    flow = run_unfenced(idempotent_call(), stub_tools(allowance=1))
    first = next(flow)
    assert isinstance(first, Exchange)
    damaged = answered(first, b"whole")._replace(body=b"whol")
    second = flow.send(Replied(damaged))
    seen.update([first.host, second.host])
    assert set(seen) == set(HOSTS)
    with pytest.raises(StopIteration) as stop:
        flow.send(Replied(answered(second, b"whole")))
    assert stop.value.value.reply.body == b"whole"


def test_a_damaged_answer_without_allowance_is_refused_as_may_have_run():
    flow = run_unfenced(idempotent_call(), stub_tools(allowance=0))
    first = next(flow)
    damaged = answered(first, b"whole")._replace(body=b"")
    with pytest.raises(StopIteration) as stop:
        flow.send(Replied(damaged))
    assert stop.value.value.reply is None
    assert stop.value.value.refusal.verdict == "may-have-run"
