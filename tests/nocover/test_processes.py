"""Tests of real processes on loopback: killed, stopped, partitioned, restarted.

Every verdict that a caller received is compared with the starts recorded at the
stand-in backend servers.
"""

import signal
from collections import Counter

import pytest
import trio
from returns.result import Success

from jacinthshed import Verdict
from tests.common.policies import route
from tests.common.real_deployment import real_deployment
from tests.common.silent_relay import SilentRelay
from tests.common.verdict_recorder import VerdictRecorder

HOSTS = ("orders-0", "orders-1", "orders-2")
TEST_TIMEOUT_S = 60
PAST_SKEW_S = 3.0
ANSWER_BYTES = 1_000_000


@pytest.fixture
def deploy(tmp_path, monkeypatch):
    """Return a function that deploys the three hosts."""

    def start(**arguments):
        return real_deployment(tmp_path, monkeypatch, len(HOSTS), **arguments)

    return start


def run(main):
    """Run ``main`` in real time, for at most ``TEST_TIMEOUT_S``."""

    async def bounded():
        with trio.fail_after(TEST_TIMEOUT_S):
            await main()

    trio.run(bounded)


def keys(count):
    return [f"key-{number}" for number in range(count)]


def test_killed_node(deploy):
    with deploy(service_ms=300.0) as deployment:

        async def main():
            recorder = VerdictRecorder(deployment.caller("orders-0", "orders-1"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.send, keys(60), 0.02)
                await trio.sleep(0.5)
                deployment.kill(deployment.node("orders-2"))
                await trio.sleep(1)
                await deployment.restart_node("orders-2")
            unclear = recorder.keys_with_last_verdict(Verdict.MAY_HAVE_RUN)
            await recorder.send(unclear)
            assert deployment.starts("orders-2")
            recorder.check_against_starts(deployment.starts())
            assert (
                len(recorder.keys_with_last_verdict(Verdict.RAN))
                > len(recorder.results) / 2
            )

        run(main)


def test_killed_backend_server(deploy):
    with deploy(service_ms=2_000.0) as deployment:

        async def main():
            recorder = VerdictRecorder(deployment.caller("orders-0"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.send, keys(15))
                await trio.sleep(1)
                lost = deployment.starts("orders-2")
                assert lost
                deployment.kill(deployment.backend("orders-2"))
            await deployment.restart_backend("orders-2")
            recorder.check_against_starts(deployment.starts() + lost)
            assert set(recorder.keys_with_last_verdict(Verdict.MAY_HAVE_RUN)) == set(
                lost
            )
            await recorder.send(lost)
            recorder.check_against_starts(deployment.starts() + lost)

        run(main)


def test_node_stopped_across_a_deadline(deploy):
    with deploy(service_ms=100.0) as deployment:

        async def main():
            recorder = VerdictRecorder(deployment.caller("orders-0"))
            await recorder.send(["before"])
            node = deployment.node("orders-2")
            node.signal(signal.SIGSTOP)
            # These reach the stopped node's socket, and their callers time out.
            await recorder.send(keys(30), deadline_ms=1_000)
            unclear = recorder.keys_with_last_verdict(Verdict.MAY_HAVE_RUN)
            assert unclear
            await trio.sleep(PAST_SKEW_S)
            node.signal(signal.SIGCONT)
            await trio.sleep(1)
            assert not deployment.starts("orders-2") & Counter(unclear)
            recorder.check_against_starts(deployment.starts())
            # A resend under its fence now proves whether each has run.
            await recorder.send(unclear)
            recorder.check_against_starts(deployment.starts())
            assert not recorder.keys_with_last_verdict(Verdict.MAY_HAVE_RUN)

        run(main)


def test_node_stopped_within_a_deadline(deploy):
    with deploy(service_ms=100.0) as deployment:

        async def main():
            recorder = VerdictRecorder(deployment.caller("orders-0"))
            await recorder.send(["before"])
            node = deployment.node("orders-2")
            node.signal(signal.SIGSTOP)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.send, keys(30))
                await trio.sleep(PAST_SKEW_S)
                node.signal(signal.SIGCONT)
            recorder.check_against_starts(deployment.starts())
            assert not recorder.keys_with_last_verdict(Verdict.MAY_HAVE_RUN)

        run(main)


def test_stopped_entry_picks_no_host_that_left_meanwhile(deploy):
    with deploy(service_ms=20.0) as deployment:

        async def main():
            caller = deployment.caller("orders-0")

            async def lookups():
                async with trio.open_nursery() as nursery:
                    for _ in range(20):
                        nursery.start_soon(caller.request, "GET", "/orders/lookup")

            # Opens the connections that later requests use.
            await lookups()
            entry, leaving = deployment.node("orders-0"), deployment.node("orders-2")
            entry.signal(signal.SIGSTOP)
            leaving.signal(signal.SIGTERM)
            await trio.to_thread.run_sync(leaving.child.wait)
            async with trio.open_nursery() as nursery:
                # These wait in the sockets of the stopped process.
                nursery.start_soon(lookups)
                await trio.sleep(1)
                entry.signal(signal.SIGCONT)
            await trio.sleep(0.5)
            events = deployment.log("orders-0")
            names = [entry["event"] for entry in events]
            since = events[names.index("pause_noticed") :]
            picked = [entry for entry in since if entry["event"] == "routing"]
            assert len(picked) >= 20
            stale = [entry for entry in picked if "orders-2" in entry["candidates"]]
            assert stale == [], (len(stale), stale[0])

        run(main)


def test_silent_connection(deploy):
    relays = {}

    def relay_all(plans):
        relays.update((plan.peer, SilentRelay(plan.peer)) for plan in plans)
        return {peer: relay.address for peer, relay in relays.items()}

    with deploy(relays=relay_all, service_ms=2_500.0) as deployment:

        async def main():
            recorder = VerdictRecorder(deployment.caller("orders-0"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.send, keys(15))
                await trio.sleep(0.25)
                assert sum(relay.silence() for relay in relays.values())
            assert deployment.starts("orders-1", "orders-2")
            recorder.check_against_starts(deployment.starts())
            assert len(recorder.keys_with_last_verdict(Verdict.RAN)) == 15, (
                recorder.results
            )

        run(main)
    for relay in relays.values():
        relay.close()


def test_platform_down_at_the_start_of_a_node(deploy):
    with deploy() as deployment:

        async def main():
            deployment.set_platform_mode("down")
            deployment.seeds = [deployment.running["orders-0"].plan.peer]
            await deployment.start_spare()
            recorder = VerdictRecorder(deployment.caller(deployment.spare.host))
            await recorder.send(keys(20), 0.01)
            assert len(recorder.keys_with_last_verdict(Verdict.RAN)) == 20, (
                recorder.results
            )
            recorder.check_against_starts(deployment.starts())

        run(main)


def test_two_operators_sign_the_same_version(deploy):
    with deploy() as deployment:

        async def in_force():
            """Return each node's bundle version, digest and number of clashes."""
            shown = [(await deployment.status(host))["bundle"] for host in HOSTS]
            return [(b["version"], b["digest"], len(b["clashes"])) for b in shown]

        async def publish(operator, version, rank):
            routes = {**deployment.bundle["routes"], "lookup": lookup_of(rank)}
            deployment.publish(operator, version=version, routes=routes)
            await trio.sleep(2)
            return await in_force()

        async def main():
            was_replaced = set()
            for version in range(2, 6):
                first = await publish("operator", version, 4)
                second = await publish("deputy", version, 5)
                digests = {shown[1] for shown in first}
                highest = max(digests | {shown[1] for shown in second})
                assert len(digests) == 1
                assert set(second) == {(version, highest, version - 1)}
                was_replaced.add(highest not in digests)
            # The later bundle had the higher digest in some rounds only.
            assert was_replaced == {True, False}

        run(main)


def lookup_of(rank):
    return route("orders", rank, True)


def test_termination_cuts_no_work(deploy):
    with deploy(service_ms=1_500.0) as deployment:

        async def main():
            leaving = deployment.node("orders-2")
            recorder = VerdictRecorder(deployment.caller("orders-0", "orders-2"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.send, keys(15))
                await trio.sleep(0.7)
                assert deployment.admin("orders-2")["in_hand"]
                leaving.signal(signal.SIGTERM)
                code = await trio.to_thread.run_sync(leaving.child.wait)
            assert code == 0
            assert deployment.admin("orders-2")["cancelled"] == 0
            assert len(recorder.keys_with_last_verdict(Verdict.RAN)) == 15, (
                recorder.results
            )
            recorder.check_against_starts(deployment.starts())

        run(main)


def test_termination_cuts_no_answer_that_is_being_written(deploy):
    with deploy(service_ms=20.0, answer_bytes=ANSWER_BYTES) as deployment:

        async def main():
            leaving = deployment.node("orders-0")
            client = trio.socket.socket()
            client.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4_096)
            await client.connect(
                ("127.0.0.1", deployment.running["orders-0"].plan.entry_port)
            )
            await client.send(b"GET /orders/lookup HTTP/1.1\r\nHost: h\r\n\r\n")
            await trio.sleep(1)
            leaving.signal(signal.SIGTERM)
            await trio.sleep(1)
            received = bytearray()
            while data := await client.recv(65_536):
                received += data
            assert await trio.to_thread.run_sync(leaving.child.wait) == 0
            _, _, body = bytes(received).partition(b"\r\n\r\n")
            assert len(body) >= ANSWER_BYTES

        run(main)


def test_rolling_restart_fails_no_lookup(deploy):
    with deploy(service_ms=20.0) as deployment:
        results = []

        async def load(caller):
            async def lookup():
                results.append(await caller.request("GET", "/orders/lookup"))

            async with trio.open_nursery() as nursery:
                while True:
                    nursery.start_soon(lookup)
                    await trio.sleep(0.01)

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load, deployment.caller(*HOSTS))
                for host in HOSTS:
                    await trio.sleep(1)
                    node = deployment.node(host)
                    node.signal(signal.SIGTERM)
                    assert await trio.to_thread.run_sync(node.child.wait) == 0
                    await deployment.restart_node(host)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        run(main)
        failed = [result for result in results if not isinstance(result, Success)]
        assert len(results) > 500
        assert failed == [], (len(failed), len(results), failed[:3])
