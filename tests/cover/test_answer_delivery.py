"""Each caller gets the answer to its own request, on whatever way it comes back."""

import pytest
import trio
import trio.testing

from jacinthshed.internal.flow.backend_outcome import BackendAnswer
from jacinthshed.internal.http.drain import Drain
from jacinthshed.internal.http.limits import HttpLimits
from jacinthshed.internal.http.message import Response, header
from jacinthshed.internal.http.network import tcp_network
from jacinthshed.internal.http.server import serve_connection
from jacinthshed.internal.platform.http_adapter import platform_http_adapter
from jacinthshed.internal.verdict import Verdict
from jacinthshed.internal.wire.frames import Heartbeat
from tests.common.fleet import run_virtual
from tests.common.http import receive_all
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
            sent = request("/work/1", attempt)
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

    routes = [route("work", "/work/", "b", kind=kind, max_attempts=1)]
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


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 0.6])
def test_pipelined_requests_get_their_answers_in_order(pause_s):
    async def handle(request_, interim):
        # Longer than the delay after which the stream is watched.
        await trio.sleep(0.4)
        return Response(200, body=request_.target)

    async def main():
        client, server = trio.testing.memory_stream_pair()

        async def send():
            for number in range(4):
                await client.send_all(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number)
                await trio.sleep(pause_s)
            await trio.sleep(3)
            await client.send_eof()

        async def serve():
            await serve_connection(
                server,
                handle,
                limits=HttpLimits(),
                drain=Drain(),
                cancel_on_disconnect=True,
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            nursery.start_soon(serve)
            received = await receive_all(client)
        whole = b"HTTP/1.1 200 \r\ncontent-length: 2\r\n\r\n/%d"
        assert received.lower() == b"".join(whole % n for n in range(4)).lower()

    run_virtual(main)


def test_a_client_that_reads_only_a_part_gets_nothing_after_it():
    body = b"x" * 16_000_000

    async def handle(request_, interim):
        return Response(200, body=body)

    async def serve(stream):
        limits = HttpLimits(write_ms=200)
        await serve_connection(stream, handle, limits=limits, drain=Drain())

    async def main():
        network = tcp_network()
        async with trio.open_nursery() as nursery:
            address = await nursery.start(network.listen, "127.0.0.1:0", serve)
            client = await network.connect(address)
            await client.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
            await trio.sleep(0.6)
            received = await receive_all(client)
            nursery.cancel_scope.cancel()
        whole = b"HTTP/1.1 200 \r\ncontent-length: 16000000\r\n\r\n" + body
        assert 0 < len(received) < len(whole)
        assert whole.lower().startswith(received.lower())

    trio.run(main)


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    ],
)
def test_a_connection_ends_with_the_response_that_announces_it(head):
    handled = []

    async def handle(request_, interim):
        handled.append(request_.target)
        return Response(200, body=b"whole")

    async def main():
        client, server = trio.testing.memory_stream_pair()

        async def serve():
            await serve_connection(server, handle, limits=HttpLimits(), drain=Drain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await client.send_all(head * 2)
            received = await receive_all(client)
        assert received.count(b"HTTP/1.1 200") == 1
        assert received.endswith(b"whole")
        assert trio.current_time() < 1

    run_virtual(main)
    assert handled == [b"/"]


class HalfSendingStream(trio.abc.Stream):
    """Sends half of the first message, and blocks; sends the others whole."""

    def __init__(self, stream):
        self._stream = stream
        self._has_blocked = False

    async def send_all(self, data):
        if self._has_blocked:
            await self._stream.send_all(data)
            return
        self._has_blocked = True
        await self._stream.send_all(data[: len(data) // 2])
        await trio.sleep_forever()

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()


def test_no_answer_follows_an_interim_response_that_was_cut():
    async def handle(request_, interim):
        with trio.move_on_after(0.1):
            await interim(Response(103, ((b"x-early", b"value"),)))
        return Response(200, body=b"late")

    async def main():
        client, server = trio.testing.memory_stream_pair()

        async def serve():
            stream = HalfSendingStream(server)
            await serve_connection(stream, handle, limits=HttpLimits(), drain=Drain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            await client.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            received = await receive_all(client)
        assert b"200" not in received

    run_virtual(main)


def test_a_success_with_a_content_encoding_is_not_the_body_of_the_target():
    headers = ((b"response-seal", b"s"), (b"content-encoding", b"gzip"))
    check = platform_http_adapter("a").check_answer
    assert check(BackendAnswer(200, headers[:1], b"body")) is None
    refusal = check(BackendAnswer(200, headers, b"body"))
    assert refusal is not None and refusal.verdict is Verdict.MAY_HAVE_RUN
