"""The unfenced flow of an idempotent call never returns a corrupted answer.

The flow is driven step by step; a reply whose body does not match its checksum stands
for corruption between the target and the entry node.
"""

from collections import Counter

import pytest

from jacinthshed.internal.flow.backend_outcome import BackendAnswer
from jacinthshed.internal.flow.replies import answer_reply
from jacinthshed.internal.flow.steps import Exchange, Replied
from jacinthshed.internal.flow.unfenced import run_unfenced
from tests.common.flows import HOSTS, idempotent_call, stub_tools


def answer_frame(step, body):
    return answer_reply(step.submit.request_id, BackendAnswer(200, (), body))


def test_a_corrupted_answer_is_dropped_and_another_target_is_tried():
    tried_hosts = Counter()
    flow = run_unfenced(idempotent_call(), stub_tools(allowance=1))
    first = next(flow)
    assert isinstance(first, Exchange)
    corrupted = answer_frame(first, b"whole")._replace(body=b"whol")
    second = flow.send(Replied(corrupted))
    tried_hosts.update([first.host, second.host])
    assert set(tried_hosts) == set(HOSTS)
    with pytest.raises(StopIteration) as stop:
        flow.send(Replied(answer_frame(second, b"whole")))
    assert stop.value.value.reply.body == b"whole"


def test_a_corrupted_answer_without_allowance_is_refused_as_may_have_run():
    flow = run_unfenced(idempotent_call(), stub_tools(allowance=0))
    first = next(flow)
    corrupted = answer_frame(first, b"whole")._replace(body=b"")
    with pytest.raises(StopIteration) as stop:
        flow.send(Replied(corrupted))
    assert stop.value.value.reply is None
    assert stop.value.value.refusal.verdict == "may-have-run"
