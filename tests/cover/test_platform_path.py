"""Requests through several nodes on the users' platform, in virtual time."""

import json

import pytest
import trio

from jacinthshed.internal.http.message import header
from jacinthshed.internal.node.link import Link
from jacinthshed.internal.wire.frames import Heartbeat
from tests.common.fleet import run_virtual
from tests.common.http import receive_all
from tests.common.machines import desired_state, entry_of, machines, request, route

TWO = {"10.0.0.1": "a", "10.0.0.2": "b"}
THREE = {**TWO, "10.0.0.3": "b"}


def run_scenario(scenario, layout=TWO, state=None):
    async def main():
        async with machines(layout, state) as fleet:
            with trio.fail_after(120):
                return await scenario(fleet)

    return run_virtual(main)


def test_a_request_reaches_the_target_of_its_route_and_gets_the_whole_answer():
    async def scenario(fleet):
        sent = request("/lookup/7?x=1", "id-1", caller_service="forged", x_note="kept")
        answer = await fleet.send("10.0.0.1", sent)
        assert answer.status == 200
        assert answer.body == b"ran by i-10.0.0.2"
        assert header(answer.headers, b"attempt-id") == b"id-1"
        assert header(answer.headers, b"response-seal") == b"seal-id-1"
        (got,) = fleet.targets["10.0.0.2"].requests
        assert (got.method, got.target) == (b"GET", b"/lookup/7?x=1")
        assert header(got.headers, b"caller-service") == b"a"
        assert header(got.headers, b"pin-instance") == b"i-10.0.0.2"
        assert header(got.headers, b"x-note") == b"kept"
        assert 900 <= int(header(got.headers, b"deadline-ms")) <= 1_000
        assert fleet.targets["10.0.0.1"].requests == []

    run_scenario(scenario)


def test_a_node_is_ready_once_it_knows_policy_and_targets_and_not_while_it_leaves():
    async def scenario(fleet):
        ready = request("/ready", None, host="x")
        assert (await fleet.send("10.0.0.1", ready, port=5)).status == 200
        node = fleet.nodes["10.0.0.1"]
        node.leave()
        assert (await fleet.send("10.0.0.1", ready, port=5)).status == 503
        # For a short time callers still reach this node, and it serves them.
        assert (await fleet.send("10.0.0.1", request("/lookup/1", "i"))).status == 200

    run_scenario(scenario)


def test_a_node_that_finds_no_policy_in_the_store_gets_it_from_its_peers():
    async def scenario(fleet):
        fleet.store.delete("op/config")
        await fleet.add("10.0.0.9", "a")
        await fleet.settle()
        fresh = fleet.nodes["10.0.0.9"]
        assert fresh.is_ready  # It received the policy from its peers.
        answer = await fleet.send("10.0.0.9", request("/lookup/1", "i"))
        assert answer.status == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("sent", "status", "detail"),
    [
        (request("/none/1", "i"), 404, "no route"),
        (request("/lookup/1", "i", host="other.example"), 404, "no route"),
        (request("/lookup/1", None), 400, "Attempt-Id"),
        (request("/lookup/1", ""), 400, "Attempt-Id"),
        (request("/lookup/1", "x" * 129), 400, "Attempt-Id"),
        (request("/lookup/1", "i", deadline_ms="soon"), 400, "Deadline-Ms"),
        (request("/lookup/1", "i", x_note="n" * 4_096), 431, "4096 bytes"),
        (request("/lookup/1", "i", b"POST", b"b" * 2_001), 413, "2000 bytes"),
    ],
)
def test_invalid_requests_are_refused_with_a_reason_and_never_run(sent, status, detail):
    async def scenario(fleet):
        answer = await fleet.send("10.0.0.1", sent)
        assert answer.status == status
        assert detail in json.loads(answer.body)["detail"]
        assert not fleet.targets["10.0.0.2"].requests

    run_scenario(scenario)


def test_the_longest_prefix_matches_and_requests_follow_the_weights():
    split = [{"service": "a", "weight": 1}, {"service": "b", "weight": 3}]
    routes = [
        route("wide", "/r/", "a"),
        route("narrow", "/r/narrow/", "", weighted_backends=split),
    ]

    async def scenario(fleet):
        for number in range(8):
            await fleet.send("10.0.0.1", request("/r/narrow/1", f"n{number}"))
        assert len(fleet.targets["10.0.0.1"].requests) == 2
        assert len(fleet.targets["10.0.0.2"].requests) == 6
        await fleet.send("10.0.0.1", request("/r/narro", "w"))
        assert len(fleet.targets["10.0.0.1"].requests) == 3

    run_scenario(scenario, state=desired_state(routes=routes))


def test_the_timeout_of_a_route_applies_to_callers_that_would_wait_longer():
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].work_ms = 60_000
        began = trio.current_time()
        answer = await fleet.send("10.0.0.1", request("/q/1", "i", deadline_ms="5000"))
        assert answer.status == 504
        assert 0.299 <= trio.current_time() - began <= 0.5

    routes = [route("quick", "/q/", "b", timeout_s=0.3)]
    run_scenario(scenario, state=desired_state(routes=routes))


def test_a_failed_lookup_is_tried_at_another_target_and_an_order_is_not():
    async def scenario(fleet):
        for ip in ("10.0.0.2", "10.0.0.3"):
            fleet.targets[ip].status = 500
        answer = await fleet.send("10.0.0.1", request("/lookup/1", "l"))
        # The target's answer is returned when no other target gives a better one.
        assert answer.status == 500
        assert header(answer.headers, b"response-seal") == b"seal-l"
        answer = await fleet.send("10.0.0.1", request("/order/1", "o", b"POST", b"x"))
        assert answer.status == 500
        runs = fleet.targets["10.0.0.2"].runs + fleet.targets["10.0.0.3"].runs
        assert runs == {"l": 2, "o": 1}

    run_scenario(scenario, THREE)


def test_an_order_is_retried_after_proof_that_it_did_not_run():
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].is_full = True
        for number in range(4):
            sent = request("/order/1", f"o{number}", b"POST", b"x")
            assert (await fleet.send("10.0.0.1", sent)).status == 200
            # A node may send few retries, and its retry budget refills slowly.
            await trio.sleep(12)
        assert not fleet.targets["10.0.0.2"].runs
        assert len(fleet.targets["10.0.0.3"].runs) == 4

    run_scenario(scenario, THREE)


def test_an_order_that_no_target_ran_is_refused_as_not_run():
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].is_full = True
        fleet.targets["10.0.0.3"].target_id = "i-another-life"
        answer = await fleet.send("10.0.0.1", request("/order/1", "o", b"POST", b"x"))
        assert answer.status == 503
        assert float(header(answer.headers, b"retry-after")) > 0
        assert not fleet.targets["10.0.0.2"].runs + fleet.targets["10.0.0.3"].runs

    run_scenario(scenario, THREE)


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_a_not_run_status_without_proof_is_not_passed_on(status):
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].status = status
        answer = await fleet.send("10.0.0.1", request("/order/1", "o", b"POST", b"x"))
        assert answer.status == 502
        assert header(answer.headers, b"response-seal") is None
        assert fleet.targets["10.0.0.2"].runs == {"o": 1}

    run_scenario(scenario)


def test_a_success_without_a_receipt_counts_as_a_failure():
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].sealed = False
        answer = await fleet.send("10.0.0.1", request("/lookup/1", "l"))
        assert answer.status == 502

    run_scenario(scenario)


@pytest.mark.parametrize("step_ms", [-2_000, 2_000])
def test_a_host_whose_clock_is_wrong_still_serves_requests(step_ms):
    async def scenario(fleet):
        fleet.wall_offset_ms["10.0.0.2"] = step_ms
        await trio.sleep(0.5)
        for number in range(10):
            sent = request("/lookup/1", f"to-{number}")
            assert (await fleet.send("10.0.0.1", sent)).status == 200

    run_scenario(scenario)


def test_a_second_request_with_the_id_of_a_running_one_is_refused():
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].work_ms = 200.0
        answers = {}

        async def send(name, path):
            answers[name] = await fleet.send("10.0.0.1", request(path, "same"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "first", "/lookup/1")
            await trio.sleep(0.1)
            nursery.start_soon(send, "second", "/lookup/2")
        assert answers["first"].status == 200
        assert answers["second"].status == 400
        assert b"id of its own" in answers["second"].body
        assert len(fleet.targets["10.0.0.2"].requests) == 1
        # The id may be used again once its request has ended.
        assert (
            await fleet.send("10.0.0.1", request("/lookup/3", "same"))
        ).status == 200

    run_scenario(scenario)


def test_a_leaving_target_gets_no_requests_from_any_node():
    async def scenario(fleet):
        entry = entry_of("i-10.0.0.2", "10.0.0.2", "b", state="draining")
        fleet.store.put("servers/i-10.0.0.2", entry)
        await fleet.settle()
        for number in range(10):
            sent = request("/lookup/1", f"l{number}")
            assert (await fleet.send("10.0.0.1", sent)).status == 200
            sent = request("/lookup/1", f"m{number}")
            assert (await fleet.send("10.0.0.2", sent)).status == 200
        assert not fleet.targets["10.0.0.2"].runs
        assert len(fleet.targets["10.0.0.3"].runs) == 20

    run_scenario(scenario, THREE)


def test_removed_targets_and_those_with_malformed_entries_get_no_requests():
    async def scenario(fleet):
        fleet.store.delete("servers/i-10.0.0.2")
        fleet.store.put("servers/i-10.0.0.3", b'{"service": 7')
        await fleet.settle()
        answer = await fleet.send("10.0.0.1", request("/lookup/1", "l"))
        assert answer.status == 503
        assert not fleet.targets["10.0.0.2"].runs + fleet.targets["10.0.0.3"].runs
        fleet.store.put("servers/i-10.0.0.3", entry_of("i-10.0.0.3", "10.0.0.3", "b"))
        await fleet.settle()
        answer = await fleet.send("10.0.0.1", request("/lookup/1", "m"))
        assert answer.status == 200

    run_scenario(scenario, THREE)


def test_a_lookup_is_cancelled_when_its_caller_disconnects():
    async def scenario(fleet):
        target = fleet.targets["10.0.0.2"]
        target.work_ms = 900
        stream = await fleet.network.connect("10.0.0.1:1")
        await stream.send_all(
            b"GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Attempt-Id: l\r\nDeadline-Ms: 2000\r\n\r\n"
        )
        await trio.sleep(0.1)
        assert target.runs == {"l": 1}
        await stream.aclose()
        await trio.sleep(1.5)
        assert not target.ended

    run_scenario(scenario)


def test_a_new_version_is_in_force_everywhere_and_an_older_one_never_again():
    async def scenario(fleet):
        moved = [route("lookup", "/lookup/", "a")]
        fleet.store.put("op/config", desired_state(9, routes=moved))
        await fleet.settle()
        for ip in TWO:
            await fleet.send(ip, request("/lookup/1", f"at-{ip}"))
        fleet.store.put("op/config", desired_state(8))
        await fleet.settle()
        for ip in TWO:
            await fleet.send(ip, request("/lookup/1", f"old-{ip}"))
        assert len(fleet.targets["10.0.0.1"].runs) == 4

    run_scenario(scenario)


def test_a_leaving_node_cuts_off_no_answer_and_ends_in_time():
    async def scenario(fleet):
        fleet.targets["10.0.0.2"].work_ms = 1_900
        stream = await fleet.network.connect("10.0.0.1:1")
        began = trio.current_time()
        fleet.nodes["10.0.0.1"].leave()
        await trio.sleep(2.5)
        await stream.send_all(
            b"GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Attempt-Id: l\r\nDeadline-Ms: 4000\r\n\r\n"
        )
        received = await receive_all(stream)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(b"ran by i-10.0.0.2")
        assert trio.current_time() - began < 5.2

    run_scenario(scenario)


def test_a_leaving_node_ends_in_time_though_a_peer_reads_nothing(monkeypatch):
    async def never(link):
        await trio.sleep_forever()

    monkeypatch.setattr(Link, "flushed", never)

    async def scenario(fleet):
        fleet.targets["10.0.0.2"].work_ms = 1_900
        await fleet.send("10.0.0.1", request("/lookup/1", "first", deadline_ms="4000"))
        began = trio.current_time()
        fleet.nodes["10.0.0.1"].leave()
        await trio.sleep(2.98)
        last = request("/lookup/1", "last", deadline_ms="4000")
        assert (await fleet.send("10.0.0.1", last)).status == 200
        while not any(line["event"] == "left" for line in fleet.logs["10.0.0.1"]):
            await trio.sleep(0.01)
        # The platform kills it after six seconds, in which the process has to end too.
        assert trio.current_time() - began < 5.5

    run_scenario(scenario)


async def send_to_silent_peer(fleet, monkeypatch, path, silent_s):
    """Send a request whose target's node neither reads nor writes for some time."""
    fleet.targets["10.0.0.2"].work_ms = 300
    links = fleet.nodes["10.0.0.1"]._components.links
    link = await links.open("10.0.0.2")
    awake = trio.Event()
    receive = link._stream.receive_some

    async def receive_later(*args):
        data = await receive(*args)
        await awake.wait()
        return data

    monkeypatch.setattr(link._stream, "receive_some", receive_later)
    # The frame that the reader was waiting for already.
    link.send(Heartbeat(99, echo=True))
    await trio.sleep(0.01)
    answers = []

    async def send():
        sent = request(path, "x", deadline_ms="8000")
        answers.append(await fleet.send("10.0.0.1", sent, timeout_ms=9_000))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.sleep(silent_s)
        awake.set()
    return answers[0]


def test_an_order_at_a_peer_that_is_silent_for_some_seconds_gets_its_answer(
    monkeypatch,
):
    async def scenario(fleet):
        path = "/order/1"
        # Longer than the time after which a link counts as silent.
        answer = await send_to_silent_peer(fleet, monkeypatch, path, silent_s=4)
        assert answer.status == 200
        assert fleet.targets["10.0.0.2"].runs == {"x": 1}

    state = desired_state(
        routes=[route("order", "/order/", "b", kind="non_idempotent", timeout_s=9)]
    )
    run_scenario(scenario, TWO, state)


def test_a_lookup_at_a_silent_peer_moves_to_another_target(monkeypatch):
    async def scenario(fleet):
        # Of the two targets, one is known to this node only by its silent link.
        fleet.targets["10.0.0.3"].work_ms = 10
        answer = await send_to_silent_peer(fleet, monkeypatch, "/lookup/1", silent_s=4)
        assert answer.status == 200

    state = desired_state(routes=[route("lookup", "/lookup/", "b", timeout_s=9)])
    run_scenario(scenario, THREE, state)


def test_a_node_that_starts_alone_serves_as_soon_as_it_has_read_the_store():
    async def main():
        async with machines({"10.0.0.2": "b"}) as fleet:
            # Listed in the store, but no node answers at its peer address.
            dead = entry_of("i-dead", "10.0.0.77", "b")
            fleet.store.put("servers/i-dead", dead)
            began = trio.current_time()
            await fleet.add("10.0.0.1", "a")
            assert trio.current_time() - began < 1
            assert fleet.nodes["10.0.0.1"].is_ready

    run_virtual(main)


def test_a_request_never_runs_at_a_service_that_took_over_an_address():
    async def scenario(fleet):
        # The store still lists the old entry when the new one appears.
        reused = entry_of("i-new", "10.0.0.2", "a", born=2)
        fleet.targets["10.0.0.2"].target_id = "i-new"
        for number in range(100):
            if number == 5:
                fleet.store.put("servers/i-new", reused)
            sent = request("/lookup/1", f"l{number}")
            assert (await fleet.send("10.0.0.1", sent)).status == 503
        assert not fleet.targets["10.0.0.2"].runs

    run_scenario(scenario)


def nested_state():
    """Return a desired state in which lookups of ``a`` call ``b``."""
    routes = [
        route("root", "/root/", "a", priority=2),
        route("order", "/order/", "a", priority=0, kind="non_idempotent"),
        route("below", "/below/", "b", priority=1),
    ]
    return desired_state(routes=routes)


async def call_below(fleet, request_, ip="10.0.0.1"):
    """Answer a request at service ``a`` after one call of ``b``."""
    attempt = header(request_.headers, b"attempt-id").decode()
    sent = request("/below/1", f"{attempt}.c")
    answer = await fleet.send(ip, sent)
    return 200 if answer.status == 200 else 500


def test_a_call_of_a_running_request_has_the_rank_of_its_root():
    async def scenario(fleet):
        fleet.targets["10.0.0.1"].before_answer = lambda got: call_below(fleet, got)
        for path, attempt in (("/root/1", "r"), ("/order/1", "o")):
            method = b"POST" if attempt == "o" else b"GET"
            answer = await fleet.send("10.0.0.1", request(path, attempt, method))
            assert answer.status == 200
        lines = [
            line
            for line in fleet.logs["10.0.0.2"]
            if line["event"] == "admission" and line["outcome"] == "started"
        ]
        assert [line["rank"] for line in lines] == [3, 1]
        # An id that looks like a call's counts as a root request's, since no request
        # with the id of the caller is running.
        await fleet.send("10.0.0.1", request("/below/1", "gone.c"))
        assert fleet.logs["10.0.0.2"][-2]["rank"] == 2

    run_scenario(scenario, state=nested_state())


def test_all_slots_are_used_after_the_target_refused_requests():
    async def scenario(fleet):
        target = fleet.targets["10.0.0.2"]
        target.is_full = True
        for number in range(60):
            await fleet.send("10.0.0.1", request("/lookup/1", f"full-{number}"))
        target.is_full = False
        target.work_ms = 200.0
        async with trio.open_nursery() as nursery:
            for number in range(4):
                sent = request("/lookup/1", f"free-{number}")
                nursery.start_soon(fleet.send, "10.0.0.1", sent)
        running = [
            line["running"]
            for line in fleet.logs["10.0.0.2"]
            if line["event"] == "admission" and line["request_id"].startswith("free")
        ]
        assert max(running) == 4

    run_scenario(scenario)


async def roots_with_a_call(fleet, count, gap_s, work_ms):
    """Send root requests that make one call of ``work_ms`` each; return the statuses.

    The first service has a slot for each of them, the called service has four slots.
    """
    first, last = fleet.targets["10.0.0.1"], fleet.targets["10.0.0.2"]
    first.before_answer = lambda got: call_below(fleet, got)
    last.work_ms = work_ms
    roomy = entry_of("i-10.0.0.1", "10.0.0.1", "a", slots=40)
    fleet.store.put("servers/i-10.0.0.1", roomy)
    await fleet.settle()
    statuses = []

    async def send(number):
        sent = request("/root/1", f"r{number}")
        statuses.append((await fleet.send("10.0.0.1", sent)).status)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(send, number)
            await trio.sleep(gap_s)
    return statuses


def test_calls_of_running_requests_wait_and_are_not_refused():
    async def scenario(fleet):
        # Twelve calls take three rounds of four slots, far below the roots' timeout of
        # one second.
        statuses = await roots_with_a_call(fleet, 12, gap_s=0.0, work_ms=50.0)
        assert statuses == [200] * 12

    run_scenario(scenario, state=nested_state())


def test_roots_whose_calls_fail_are_held_back_until_the_calls_succeed():
    async def scenario(fleet):
        first, last = fleet.targets["10.0.0.1"], fleet.targets["10.0.0.2"]
        first.before_answer = lambda got: call_below(fleet, got)
        last.status = 500

        async def send(name, count):
            statuses = []
            for number in range(count):
                sent = request("/root/1", f"{name}{number}")
                statuses.append((await fleet.send("10.0.0.1", sent)).status)
            return statuses

        await send("first", 40)
        ran_before = len(first.requests)
        statuses = await send("held", 100)
        # Few of them run; the others get a status that says that they did not.
        assert set(statuses) == {500, 503}
        assert len(first.requests) - ran_before < 40
        last.status = 200
        await send("again", 40)
        assert set(await send("served", 20)) == {200}

    run_scenario(scenario, state=nested_state())


def test_roots_are_refused_at_the_entry_when_a_service_below_is_full():
    async def scenario(fleet):
        # Four slots with calls of 200 ms serve 20 of the 100 requests per second.
        statuses = await roots_with_a_call(fleet, 500, gap_s=0.01, work_ms=200.0)
        served = statuses.count(200)
        assert served >= 60
        # Most requests are refused before they run anywhere, so few run and then fail.
        assert len(fleet.targets["10.0.0.1"].requests) - served <= served

    run_scenario(scenario, state=nested_state())
