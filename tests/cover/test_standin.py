import json
import random

import pytest
import trio
import trio.testing

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Request, Response, header
from jacinthshed.internal.standin.backend import refuse_nested_calls, serve_backend
from jacinthshed.internal.standin.backend_options import BackendOptions
from jacinthshed.internal.standin.backend_state import BackendState
from jacinthshed.internal.standin.platform import serve_platform
from jacinthshed.internal.standin.platform_state import Mode, PlatformState
from tests.common.http import memory_network

ADDRESS = "10.0.0.1:1"


def run_with_server(serve, main):
    """Run ``main(send)`` in virtual time against what ``serve(network)`` serves."""

    async def serve_and_run():
        network = memory_network()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve, network)
            pool = BackendPool(
                connect=network.connect, address=ADDRESS, max_connections=100
            )

            async def send(target, *, body=b"", timeout_ms=60_000, **fields):
                headers = [(b"host", b"h")]
                for name, value in fields.items():
                    headers.append((name.replace("_", "-").encode(), value.encode()))
                method = b"POST" if body else b"GET"
                request = Request(method, target.encode(), tuple(headers), body)
                return await pool.request(
                    request, timeout_ms=timeout_ms, max_body_bytes=10_000
                )

            await main(send)
            nursery.cancel_scope.cancel()

    trio.run(serve_and_run, clock=trio.testing.MockClock(autojump_threshold=0))


def run_platform(main):
    async def serve(network, *, task_status):
        await serve_platform(PlatformState(), network, ADDRESS, task_status=task_status)

    run_with_server(serve, main)


def run_backend(main, **options):
    async def serve(network, *, task_status):
        backend_options = {"host": "a", "service": "s", "spread": 0.0, **options}
        await serve_backend(
            BackendState(options=BackendOptions(**backend_options)),
            network,
            ADDRESS,
            send_nested=refuse_nested_calls,
            rng=random.Random(1),
            crash=lambda: None,
            task_status=task_status,
        )

    run_with_server(serve, main)


def value(response):
    return json.loads(response.body)["value"]


def test_a_watch_counts_as_one_call_and_returns_on_change():
    async def main(send):
        await send("/admin/put/bundle", body=b"one")
        assert value(await send("/v1/bundle")) == "one"
        async with trio.open_nursery() as nursery:

            async def watch():
                response = await send("/v1/bundle?after=1&wait_ms=10000")
                assert value(response) == "two"
                assert trio.current_time() - started_s == pytest.approx(3)

            started_s = trio.current_time()
            nursery.start_soon(watch)
            await trio.sleep(3)
            await send("/admin/put/bundle", body=b"two")
        assert (await send("/v1/bundle?after=2&wait_ms=100")).status == 204
        assert json.loads((await send("/admin/calls")).body)["count"] == 3

    run_platform(main)


def test_a_stale_platform_returns_earlier_values():
    async def main(send):
        await send("/admin/put/bundle", body=b"one")
        await send("/admin/mode", body=Mode.STALE.encode())
        await send("/admin/put/bundle", body=b"two")
        assert value(await send("/v1/bundle")) == "one"
        await send("/admin/mode", body=Mode.DOWN.encode())
        assert (await send("/v1/bundle")).status == 503
        await send("/admin/mode", body=Mode.NORMAL.encode())
        assert value(await send("/v1/bundle")) == "two"

    run_platform(main)


def test_a_backend_sheds_above_its_slots_and_queue():
    statuses = []

    async def main(send):
        async def one(number):
            response = await send(f"/{number}", idempotency_key=str(number))
            statuses.append(response.status)

        began_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(one, number)
        assert trio.current_time() - began_s == pytest.approx(0.2)
        starts = json.loads((await send("/admin")).body)["starts"]
        assert len(starts) == 5
        assert set(starts.values()) == {1}

    run_backend(main, slots=3, queue=2, service_ms=100)
    assert sorted(statuses) == [200] * 5 + [503] * 5


def test_a_backend_honours_deadlines_and_cancellation():
    async def main(send):
        refused = await send("/", jacinthshed_deadline_ms="50")
        assert refused.status == 504
        assert header(refused.headers, b"jacinthshed-verdict") == b"may-have-run"
        await send("/", timeout_ms=200)
        await trio.sleep(1)
        state = json.loads((await send("/admin")).body)
        assert state["in_hand"] == 0
        assert state["cancelled"] == 1
        assert state["finished"] == 0

    run_backend(main, service_ms=5_000)


def test_health_is_returned_with_a_lag():
    async def main(send):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "/")
            await trio.sleep(1)
            shown = await send("/healthz")
            assert isinstance(shown, Response)
            assert json.loads(shown.body)["load"] == 0
            await trio.sleep(1.5)
            assert json.loads((await send("/healthz")).body)["load"] == 0.5
            nursery.cancel_scope.cancel()

    run_backend(main, slots=2, service_ms=60_000, health_lag_ms=2_000)


def test_a_backend_server_echoes_the_context_also_when_it_refuses():
    async def main(send):
        for fields in ({}, {"jacinthshed_deadline_ms": "1"}):
            response = await send("/a", jacinthshed_context="id.1", **fields)
            assert header(response.headers, b"jacinthshed-context") == b"id.1"
        assert header((await send("/a")).headers, b"jacinthshed-context") is None

    run_backend(main)
