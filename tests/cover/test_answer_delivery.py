"""Each caller gets the answer to its own request, on whatever way it comes back."""

import pytest
import trio
import trio.testing

from jacinthshed.internal.flow.backend_outcome import BackendAnswer
from jacinthshed.internal.http.message import header
from jacinthshed.internal.platform.http_adapter import platform_http_adapter
from jacinthshed.internal.verdict import Verdict
from jacinthshed.internal.wire.frames import Heartbeat
from tests.common.fleet import run_virtual
from tests.common.machines import desired_state, machines, request, route

ENTRY, OTHER_ENTRY, TARGET = "10.0.0.1", "10.0.0.3", "10.0.0.2"
LAYOUT = {ENTRY: "a", OTHER_ENTRY: "a", TARGET: "b"}


def run_scenario(scenario, state=None):
    async def main():
        async with machines(LAYOUT, state) as fleet:
            with trio.fail_after(120):
                return await scenario(fleet)

    return run_virtual(main)


def test_two_requests_with_one_id_do_not_share_an_answer():
    async def scenario(fleet):
        fleet.targets[TARGET].work_ms = 200.0
        answers = {}

        async def send(ip, path):
            answers[path] = await fleet.send(ip, request(path, "same"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, ENTRY, "/lookup/1")
            await trio.sleep(0.05)
            nursery.start_soon(send, OTHER_ENTRY, "/lookup/2")
        assert answers["/lookup/1"].status == 200
        ran = [got.target for got in fleet.targets[TARGET].requests]
        assert answers["/lookup/2"].status != 200 or b"/lookup/2" in ran

    run_scenario(scenario)


def test_copies_of_a_request_with_one_id_share_one_run():
    async def scenario(fleet):
        fleet.targets[TARGET].work_ms = 200.0
        answers = []

        async def send(ip):
            sent = request("/order/1", "same", b"POST", b"body")
            answers.append(await fleet.send(ip, sent))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, ENTRY)
            await trio.sleep(0.05)
            nursery.start_soon(send, OTHER_ENTRY)
        assert [answer.status for answer in answers] == [200, 200]
        assert fleet.targets[TARGET].runs == {"same": 1}

    run_scenario(scenario)


def test_an_id_used_again_after_a_cancel_does_not_get_the_first_answer(monkeypatch):
    async def scenario(fleet):
        link = await fleet.nodes[ENTRY]._components.links.open(TARGET)
        awake = trio.Event()
        receive = link._stream.receive_some

        async def receive_later(*args):
            data = await receive(*args)
            await awake.wait()
            return data

        async def status_of(got):
            return 200 if got.target == b"/order/1" else 500

        fleet.targets[TARGET].before_answer = status_of
        monkeypatch.setattr(link._stream, "receive_some", receive_later)
        # The frame that the reader was waiting for already.
        link.send(Heartbeat(99, echo=True))
        with trio.move_on_after(0.3):
            await fleet.send(ENTRY, request("/order/1", "same", b"POST"))
        answers = []

        async def send():
            sent = request("/order/2", "same", b"POST")
            answers.append(await fleet.send(ENTRY, sent))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.2)
            awake.set()
        assert answers[0].status != 200

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
@pytest.mark.parametrize("closes_at", [ENTRY, TARGET])
def test_links_that_break_deliver_no_answer_to_another_request(kind, closes_at):
    async def scenario(fleet):
        fleet.targets[TARGET].work_ms = 15.0
        answers = {}

        async def send(attempt):
            sent = request("/task/1", attempt)
            answers[attempt] = await fleet.send(ENTRY, sent)

        async with trio.open_nursery() as nursery:
            for number in range(200):
                nursery.start_soon(send, f"id-{number}")
                await trio.sleep(0.005)
                if number % 10 == 9:
                    links = fleet.nodes[closes_at]._components.links
                    for link in links.stream_links():
                        link.close()
        own = [
            header(answer.headers, b"response-seal") == b"seal-" + attempt.encode()
            for attempt, answer in answers.items()
            if answer.status == 200
        ]
        assert all(own)
        # Some requests were answered, and some met a link that broke.
        assert 0 < len(own) < len(answers)

    routes = [route("task", "/task/", "b", kind=kind, max_attempts=1)]
    run_scenario(scenario, desired_state(routes=routes))


def test_a_late_reply_on_a_silent_link_ends_no_other_request(monkeypatch):
    async def scenario(fleet):
        links = fleet.nodes[ENTRY]._components.links
        link = await links.open(TARGET)
        awake = trio.Event()
        receive = link._stream.receive_some

        async def receive_later(*args):
            data = await receive(*args)
            await awake.wait()
            return data

        monkeypatch.setattr(link._stream, "receive_some", receive_later)
        answers = {}

        async def send(attempt):
            sent = request("/lookup/1", attempt, deadline_ms="3000")
            answers[attempt] = await fleet.send(ENTRY, sent)

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(send, f"id-{number}")
                await trio.sleep(0.1)
                if number == 30:
                    awake.set()
        for attempt, answer in answers.items():
            if answer.status == 200:
                seal = header(answer.headers, b"response-seal")
                assert seal == b"seal-" + attempt.encode()
        assert answers["id-39"].status == 200

    run_scenario(scenario)


def test_a_success_with_a_content_encoding_is_not_the_body_of_the_target():
    headers = ((b"response-seal", b"s"), (b"content-encoding", b"gzip"))
    check = platform_http_adapter("a").check_answer
    assert check(BackendAnswer(200, headers[:1], b"body")) is None
    refusal = check(BackendAnswer(200, headers, b"body"))
    assert refusal is not None and refusal.verdict is Verdict.MAY_HAVE_RUN


def test_a_failure_with_a_content_encoding_is_forwarded():
    check = platform_http_adapter("a").check_answer
    assert check(BackendAnswer(500, ((b"content-encoding", b"gzip"),), b"b")) is None
