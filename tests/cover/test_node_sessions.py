"""Tests of requests through real nodes of a simulated fleet, in virtual time."""

from collections import Counter

import msgspec
import trio
from returns.result import Failure, Success

from jacinthshed import Reason, Verdict
from jacinthshed.internal.bundle.model import RetryPolicy
from jacinthshed.internal.http.message import Request, header
from jacinthshed.internal.node.clock import trio_now_ms
from jacinthshed.internal.standin.backend_state import ShedAnswer
from jacinthshed.internal.standin.platform_state import Mode
from tests.common.fleet import run_virtual, running_fleet
from tests.common.http import receive_all
from tests.common.policies import (
    THREE_DEEP_LAYOUT,
    THREE_DEEP_OPTIONS,
    route,
    single_bundle,
    single_layout,
    three_deep_bundle,
)

ALLOWANCE = 2
HOST = ((b"host", b"callers"),)


def test_a_request_crosses_three_services():
    async def main():
        async with running_fleet(
            THREE_DEEP_LAYOUT, three_deep_bundle(), THREE_DEEP_OPTIONS
        ) as fleet:
            caller = fleet.caller("orders-0")
            lookup = await caller.request("GET", "/orders/lookup")
            order = await caller.request("POST", "/orders/book", key=caller.new_key())
            assert lookup.unwrap().verdict is Verdict.RAN
            assert order.unwrap().verdict is Verdict.RAN
            assert b'"schedules"' in order.unwrap().body

    run_virtual(main)


def test_a_silent_link_loses_no_answer_and_causes_no_second_run():
    async def main():
        options = {"orders": {"service_ms": 300.0, "spread": 0.0}}
        async with (
            running_fleet(single_layout(2), single_bundle(), options) as fleet,
            trio.open_nursery() as nursery,
        ):
            caller = fleet.caller("orders-0")
            results = {}

            async def order(key):
                results[key] = await caller.request(
                    "POST", "/orders/book", key=key, first_use=True, deadline_ms=9_000
                )

            for number in range(8):
                nursery.start_soon(order, f"key-{number}")
            await trio.sleep(0.1)
            fleet.silence("orders-0", "orders-1")
            with trio.move_on_after(10):
                while len(results) < 8:
                    await trio.sleep(0.1)
            assert all(isinstance(r, Success) for r in results.values()), results
            assert fleet["orders-1"].starts
            assert [fleet.total_starts(key) for key in results] == [1] * 8

    run_virtual(main)


def test_a_leaving_host_finishes_its_work_and_gets_no_more():
    async def main():
        options = {"orders": {"service_ms": 2_000.0, "spread": 0.0}}
        async with (
            running_fleet(single_layout(3), single_bundle(), options) as fleet,
            trio.open_nursery() as nursery,
        ):
            caller = fleet.caller("orders-0", "orders-1")
            results = []

            async def lookup():
                results.append(
                    await caller.request("GET", "/orders/lookup", deadline_ms=5_000)
                )

            # After slow start, so that the leaving host gets its full share.
            await trio.sleep(12)
            for _ in range(12):
                nursery.start_soon(lookup)
            await trio.sleep(0.5)
            leaving = fleet["orders-2"]
            assert leaving.backend.in_hand > 0
            started = leaving.backend.finished + leaving.backend.in_hand
            leaving.node.leave()
            await trio.sleep(1)
            for _ in range(12):
                nursery.start_soon(lookup)
            await leaving.node_ended.wait()
            await trio.sleep(3)
            assert leaving.backend.finished == started
            with trio.move_on_after(5):
                while len(results) < 24:
                    await trio.sleep(0.1)
            assert len(results) == 24
            failures = [str(r) for r in results if isinstance(r, Failure)]
            assert failures == [], failures

    run_virtual(main)


def test_a_fence_of_a_lost_incarnation_never_runs_again():
    async def main():
        options = {"orders": {"service_ms": 1_000.0, "spread": 0.0}}
        async with (
            running_fleet(single_layout(2), single_bundle(), options) as fleet,
            trio.open_nursery() as nursery,
        ):
            caller = fleet.caller("orders-0")
            results = {}

            async def order(key):
                results[key] = await caller.request(
                    "POST", "/orders/book", key=key, first_use=True, deadline_ms=8_000
                )

            keys = [f"key-{number}" for number in range(8)]
            for key in keys:
                nursery.start_soon(order, key)
            await trio.sleep(0.5)
            lost = [key for key in keys if fleet["orders-1"].starts[key]]
            fleet["orders-1"].kill_node()
            await trio.sleep(0.1)
            await fleet["orders-1"].start_node()
            while len(results) < len(keys):
                await trio.sleep(0.1)
            assert lost
            for key in lost:
                refusal = results[key].failure()
                assert refusal.verdict is Verdict.MAY_HAVE_RUN
                assert refusal.reason is Reason.FENCE_INCARNATION
            assert [fleet.total_starts(key) for key in keys] == [1] * len(keys)

    run_virtual(main)


def test_a_new_bundle_comes_into_force_everywhere_and_never_reverts():
    async def main():
        async with running_fleet(single_layout(6), single_bundle()) as fleet:
            fleet.platform.set_mode(Mode.STALE)
            fleet.publish(version=2)
            await trio.sleep(2)
            assert fleet.versions() == [1] * 6
            fleet.platform.set_mode(Mode.NORMAL)
            await trio.sleep(14)
            assert fleet.versions() == [2] * 6
            # The platform is restored from an old copy, and a node restarts.
            fleet.publish(version=1)
            fleet["orders-3"].kill_node()
            await trio.sleep(1)
            await fleet["orders-3"].start_node()
            await trio.sleep(14)
            assert fleet.versions() == [2] * 6
            in_force = [e["version"] for e in fleet["orders-3"].decisions_of("serving")]
            assert in_force[-1] == 2

    run_virtual(main)


def test_nodes_serve_while_the_platform_is_down():
    async def main():
        async with running_fleet(single_layout(3), single_bundle()) as fleet:
            fleet.platform.set_mode(Mode.DOWN)
            fleet["orders-1"].kill_node()
            await trio.sleep(1)
            await fleet["orders-1"].start_node(seeds=["orders-0"])
            caller = fleet.caller("orders-1")
            result = await caller.request("GET", "/orders/lookup")
            assert result.unwrap().verdict is Verdict.RAN

    run_virtual(main)


def test_a_request_that_crashes_servers_kills_a_bounded_number():
    async def main():
        async with running_fleet(single_layout(6), single_bundle()) as fleet:
            entries = [f"orders-{number}" for number in range(6)]
            refusals = Counter()
            for number in range(30):
                for host in fleet.hosts.values():
                    if host.backend_is_down:
                        await host.start_backend()
                caller = fleet.caller(entries[number % 6], client=f"10.8.8.{number}")
                result = await caller.request(
                    "GET", "/orders/lookup", headers=[(b"x-crash", b"1")]
                )
                refusals[result.failure().reason] += 1
                innocent = await caller.request("GET", "/orders/lookup?id=7")
                assert isinstance(innocent, Success), (number, innocent, fleet.crashes)
                await trio.sleep(0.5)
            assert len(fleet.crashes) <= 3
            assert refusals[Reason.QUARANTINED] >= 25

    run_virtual(main)


def test_retries_are_bounded_over_the_whole_chain():
    depth = 6
    names = [f"layer-{number}" for number in range(depth)]
    bundle = single_bundle(
        services={name: {"slots": 50, "connections": 100} for name in names},
        routes={
            f"r{n}": route(names[n], 5, True, [f"r{n + 1}"] if n < depth - 1 else [])
            for n in range(depth)
        },
    )
    layout = [(f"{name}-{n}", name, "zone-a") for name in names for n in range(2)]
    options = {names[n]: {"calls": (f"/{names[n + 1]}/x",)} for n in range(depth - 1)}
    options[names[-1]] = {"slots": 0}

    async def main():
        async with running_fleet(layout, bundle, options) as fleet:
            deepest = [h for h in fleet.hosts.values() if h.service == names[-1]]
            for host in deepest:
                host.backend.shed_answer = ShedAnswer.BARE
            response = await fleet.send(
                "layer-0-0", Request(b"GET", b"/layer-0/x", HOST)
            )
            assert response.status == 502
            calls = sum(host.backend.shed for host in deepest)
            assert 1 < calls <= 1 + ALLOWANCE

    run_virtual(main)


def test_a_refused_resend_is_not_reported_as_not_run():
    """The entry forwarded nothing, but an earlier copy may have run."""

    async def main():
        async with running_fleet(single_layout(1), single_bundle()) as fleet:
            key = (b"idempotency-key", b"k")
            first = Request(
                b"POST", b"/orders/book", (*HOST, key, (b"jacinthshed-fence", b"new"))
            )
            assert verdict(await fleet.send("orders-0", first)) == b"ran"
            resend = Request(b"POST", b"/orders/book", (*HOST, key))
            too_large = resend._replace(body=b"x" * 2_000_000)
            assert verdict(await fleet.send("orders-0", too_large)) == b"may-have-run"
            deadline = (b"jacinthshed-deadline-ms", b"soon")
            malformed = resend._replace(headers=(*resend.headers, deadline))
            assert verdict(await fleet.send("orders-0", malformed)) == b"may-have-run"
            fleet["orders-0"].node.leave()
            await trio.sleep(0.1)
            assert verdict(await fleet.send("orders-0", resend)) == b"may-have-run"
            assert fleet.total_starts("k") == 1

    run_virtual(main)


def test_a_marked_resend_gets_no_new_allowance():
    async def main():
        options = {"orders": {"slots": 0}}
        async with running_fleet(single_layout(4), single_bundle(), options) as fleet:
            for host in fleet.hosts.values():
                host.backend.shed_answer = ShedAnswer.BARE
            lookup = Request(b"GET", b"/orders/lookup", HOST)
            await fleet.send("orders-0", lookup)
            first = sum(host.backend.shed for host in fleet.hosts.values())
            mark = (b"jacinthshed-resend", b"1")
            resend = lookup._replace(headers=(*HOST, mark))
            await fleet.send("orders-0", resend)
            total = sum(host.backend.shed for host in fleet.hosts.values())
            assert first == 1 + ALLOWANCE
            assert total - first == 1

    run_virtual(main)


def verdict(response):
    return header(response.headers, b"jacinthshed-verdict")


def test_a_caller_that_ignores_retry_after_is_limited():
    async def main():
        options = {"orders": {"slots": 0}}
        async with running_fleet(single_layout(2), single_bundle(), options) as fleet:
            keyed = (b"idempotency-key", b"k"), (b"jacinthshed-fence", b"new")
            order = Request(b"POST", b"/orders/book", (*HOST, *keyed))
            reasons = Counter()
            for _ in range(100):
                response = await fleet.send("orders-0", order)
                reasons[msgspec.json.decode(response.body)["reason"]] += 1
            burst = RetryPolicy().burst
            assert reasons["retry-limit"] >= 100 - burst - 2

    run_virtual(main)


def test_a_target_whose_backend_server_is_down_gets_no_work():
    rounds, at_once = 20, 12

    async def main():
        options = {"orders": {"service_ms": 20.0}}
        async with running_fleet(single_layout(3), single_bundle(), options) as fleet:
            fleet["orders-2"].crash_backend()
            caller = fleet.caller("orders-0")
            results = []

            async def lookup():
                results.append(await caller.request("GET", "/orders/lookup"))

            for _ in range(rounds):
                async with trio.open_nursery() as nursery:
                    for _ in range(at_once):
                        nursery.start_soon(lookup)
                await trio.sleep(0.05)
            assert [r for r in results if isinstance(r, Failure)] == []
            arrivals = fleet["orders-2"].decisions_of("admission")
            assert 0 < len(arrivals) <= at_once

    run_virtual(main)


def test_equal_requests_without_keys_from_one_address_are_not_limited():
    """Without a key, a resend can't be distinguished from another person's request."""

    async def main():
        options = {"orders": {"slots": 0}}
        async with running_fleet(single_layout(2), single_bundle(), options) as fleet:
            lookup = Request(b"GET", b"/orders/lookup", HOST)
            reasons = Counter()
            for _ in range(60):
                response = await fleet.send("orders-0", lookup)
                reasons[msgspec.json.decode(response.body)["reason"]] += 1
            assert reasons["retry-limit"] == 0

    run_virtual(main)


def test_a_live_host_that_was_declared_gone_comes_back():
    async def main():
        async with running_fleet(single_layout(3), single_bundle()) as fleet:
            view = fleet["orders-0"].node._components.state.view
            view.declare_gone(trio_now_ms(), "orders-1")
            assert not view.is_routable("orders-1")
            await trio.sleep(10)
            assert view.is_routable("orders-1")
            caller = fleet.caller("orders-1")
            for _ in range(8):
                order = await caller.request(
                    "POST", "/orders/book", key=caller.new_key()
                )
                assert isinstance(order, Success), order

    run_virtual(main)


def test_every_section_of_a_new_bundle_takes_effect():
    changed = {
        "routing": {"subset": 2, "slow_start_ms": 1_234},
        "membership": {"gossip_interval_ms": 777, "pause_after_ms": 2_222},
        "retry": {"allowance": 1, "ratio": 0.2, "burst": 7},
        "admission": {"level_ttl_ms": 432},
        "fence": {"skew_ms": 321},
        "quarantine": {"crashes": 3},
        "readers": {"per_zone": 1},
    }

    async def main():
        async with running_fleet(single_layout(1), single_bundle()) as fleet:
            fleet.publish(version=2, **changed)
            await trio.sleep(14)
            components = fleet["orders-0"].node._components
            state = components.state
            assert state.picker._policy.slow_start_ms == 1_234
            assert components.membership._gossiper._policy.gossip_interval_ms == 777
            assert state.failures._policy.gossip_interval_ms == 777
            assert state.pauses._pause_after_ms == 2_222
            assert state.resend_limiter._policy.burst == 7
            assert state.levels._ttl_ms == 432
            assert state.fence_registry._records.policy.skew_ms == 321
            assert state.suspects._policy.crashes == 3
            assert fleet["orders-0"].node._reader._policy.per_zone == 1

    run_virtual(main)


def test_a_request_that_arrives_during_a_long_pause_is_not_run():
    async def main():
        async with running_fleet(single_layout(2), single_bundle()) as fleet:
            stream = await fleet.connect(fleet["orders-0"].entry)
            await trio.sleep(1)
            fleet["orders-0"].wall_offset_ms = 120_000
            await stream.send_all(
                b"POST /orders/book HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
                b"Jacinthshed-Fence: new\r\nContent-Length: 0\r\n\r\n"
            )
            assert await receive_all(stream) == b""
            assert fleet.total_starts("k") == 0

    run_virtual(main)


def test_a_target_that_has_reached_no_peer_of_its_service_runs_no_order():
    async def main():
        async with running_fleet(single_layout(3), single_bundle()) as fleet:
            lone = fleet["orders-1"]
            lone.kill_node()
            fleet.partition(["orders-1"], ["orders-0", "orders-2"])
            await trio.sleep(0.1)
            await lone.start_node()
            new = (b"idempotency-key", b"k"), (b"jacinthshed-fence", b"new")
            order = Request(b"POST", b"/orders/book", (*HOST, *new))
            assert verdict(await fleet.send("orders-1", order)) == b"not-run"
            assert fleet.total_starts("k") == 0
            fleet.heal()
            await trio.sleep(5)
            assert verdict(await fleet.send("orders-1", order)) == b"ran"

    run_virtual(main)
