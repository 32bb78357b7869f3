"""Tests of simulated fleets under load, in virtual time."""

import random
from collections import Counter

import pytest
import trio

from jacinthshed.internal.standin.platform_state import Mode
from tests.common.fleet import run_virtual, running_fleet
from tests.common.fleet_host import NullRecorder
from tests.common.load import Load
from tests.common.policies import single_bundle, single_layout

SILENT_AFTER_S = 2.6
JOIN_S = 10.0
ZONE_A, ZONE_B = ("orders-0", "orders-2"), ("orders-1", "orders-3")


class StartTimeRecorder(NullRecorder):
    """Records the time of the first start of each key."""

    def __init__(self):
        self.started_s = {}

    def start_counter(self, host):
        started_s = self.started_s

        class Starts(Counter):
            def __setitem__(self, key, count):
                super().__setitem__(key, count)
                started_s.setdefault(key, trio.current_time())

        return Starts()


def small_bundle(slots, queue, **changes):
    sizes = {"slots": slots, "connections": 50, "queue": queue}
    return single_bundle(services={"orders": sizes}, **changes)


def test_no_order_is_shed_while_a_lookup_waits():
    recorder = StartTimeRecorder()
    rng = random.Random(3)

    async def main():
        options = {"orders": {"service_ms": 100.0, "slots": 4}}
        bundle = small_bundle(2, 4)
        async with (
            running_fleet(single_layout(1), bundle, options, recorder) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            for wave in range(20):
                for number in range(rng.randrange(12)):
                    key = f"look-{wave}-{number}"
                    load.send("orders-0", b"GET", b"/orders/lookup", key)
                await trio.sleep(rng.choice((0.0, 0.01, 0.05)))
                for number in range(rng.randrange(12)):
                    key = f"book-{wave}-{number}"
                    load.send("orders-0", b"POST", b"/orders/book", key)
                await trio.sleep(rng.choice((0.1, 0.5, 1.0)))
            await trio.sleep(5)
            check(load)

    def check(load):
        shed = [e for e in load.of("book") if "shed" in e.reason]
        assert len(shed) > 10
        looked = [e for e in load.of("look") if e.key in recorder.started_s]
        assert len(looked) > 10
        for order in shed:
            waited = [
                lookup.key
                for lookup in looked
                if lookup.sent_s < order.ended_s < recorder.started_s[lookup.key]
            ]
            assert waited == [], (order, waited)

    run_virtual(main)


def test_a_partition_between_zones_heals_under_load():
    async def main():
        options = {"orders": {"service_ms": 20.0}}
        async with (
            running_fleet(single_layout(4), single_bundle(), options) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            for zone, name in ((ZONE_A, "zone-a"), (ZONE_B, "zone-b")):
                nursery.start_soon(
                    lambda z, n: load.every(0.05, 20, z, name=n), zone, name
                )
            await trio.sleep(2)
            parted_s = trio.current_time()
            fleet.partition(ZONE_A, ZONE_B)
            fleet.platform.set_mode(Mode.DOWN)
            orders = [f"book-{number}" for number in range(20)]
            for number, key in enumerate(orders):
                load.send(f"orders-{number % 4}", b"POST", b"/orders/book", key)
                await trio.sleep(0.2)
            await trio.sleep(2)
            fleet.heal()
            fleet.platform.set_mode(Mode.NORMAL)
            fleet.publish(version=2)
            await trio.sleep(JOIN_S)
            assert fleet.versions() == [2] * 4
            for number, host in enumerate(fleet.hosts):
                load.send(host, b"POST", b"/orders/book", f"healed-{number}")
            await trio.sleep(5)
            settled_s = parted_s + SILENT_AFTER_S
            late = load.of("zone", settled_s) + load.of("healed")
            failed = [e for e in late if e.status != 200]
            assert len(late) > 400
            assert failed == [], (len(failed), len(late), failed[:3])
            for order in load.of("book"):
                starts = fleet.total_starts(order.key)
                assert starts <= 1, order
                assert starts == {"ran": 1, "not-run": 0}.get(order.verdict, starts)

    run_virtual(main)


def test_a_host_that_the_list_shows_leaving_takes_no_new_work():
    async def main():
        async with (
            running_fleet(single_layout(3), single_bundle()) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            restarted = fleet["orders-1"]
            await trio.sleep(70)
            restarted.kill_node()
            await trio.sleep(1)
            await restarted.start_node()
            fleet.list_hosts(leaving=["orders-1", "orders-2"])
            listed_s = trio.current_time()
            await load.every(0.02, 6, ["orders-0"], name="look")
            leaving = fleet["orders-2"].decisions_of("leaving")
            assert "list" in leaving[0]["reason"]
            assert restarted.decisions_of("leaving") == []
            assert fleet["orders-2"].node_ended.is_set()
            assert [e for e in load.ended if e.status != 200] == []
            started = fleet["orders-2"].starts
            late = load.of("look", listed_s + 3)
            assert len(late) > 100
            assert [e.key for e in late if started[e.key]] == []

    run_virtual(main)


def test_all_nodes_start_at_once():
    async def main():
        options = {"orders": {"service_ms": 20.0, "cold_ms": 5_000.0}}
        async with (
            running_fleet(single_layout(6), single_bundle(), options) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            for host in fleet.hosts.values():
                host.kill_node()
            fleet.platform.set_mode(Mode.DOWN)
            await trio.sleep(2)
            async with trio.open_nursery() as starting:
                for host in fleet.hosts.values():
                    starting.start_soon(host.start_node)
            for number in range(60):
                entry = f"orders-{number % 6}"
                load.send(entry, b"POST", b"/orders/book", f"dark-{number}")
                await trio.sleep(0.05)
            fleet.platform.set_mode(Mode.NORMAL)
            await trio.sleep(JOIN_S)
            assert fleet.versions() == [1] * 6
            await load.every(0.01, 3, list(fleet.hosts), name="lit")
            await trio.sleep(1)
            # No node had a bundle: each refusal says so, and that nothing ran.
            dark = load.of("dark")
            assert {(e.status, e.verdict) for e in dark} == {(503, "not-run")}
            assert all("no-bundle" in e.reason for e in dark)
            assert not any(fleet.total_starts(e.key) for e in dark)
            assert [e for e in load.of("lit") if e.status != 200] == []

    run_virtual(main)


@pytest.mark.parametrize("mono_ms, wall_ms", [(5_000, 5_000), (0, 5_000), (5_000, 0)])
def test_a_paused_node_updates_its_view_before_it_routes(mono_ms, wall_ms):
    async def main():
        async with (
            running_fleet(single_layout(4), single_bundle()) as fleet,
            trio.open_nursery() as nursery,
        ):
            load = Load(fleet, nursery)
            await trio.sleep(JOIN_S)
            paused = fleet["orders-0"]
            fleet.isolate("orders-0")
            fleet["orders-2"].node.leave()
            await fleet["orders-2"].node_ended.wait()
            fleet.heal()
            paused.jump_clocks(mono_ms, wall_ms=wall_ms)
            before = len(paused.decisions)
            for number in range(20):
                load.send("orders-0", b"GET", b"/orders/lookup", f"look-{number}")
            await trio.sleep(3)
            since = paused.decisions[before:]
            events = [entry["event"] for entry in since]
            assert events.count("pause_noticed") == 1
            assert events.index("pause_noticed") < events.index("routing")
            picked = [e for e in since if e["event"] == "routing"]
            assert len(picked) == 20
            stale = [e for e in picked if "orders-2" in e["candidates"]]
            assert stale == [], (len(stale), stale[:1])
            assert {e.status for e in load.of("look")} == {200}

    run_virtual(main)


def test_a_host_that_does_not_read_the_list_is_notified_that_it_is_listed_leaving():
    layout = [(f"orders-{n}", "orders", "zone-a") for n in range(6)]

    async def main():
        async with running_fleet(layout, single_bundle()) as fleet:
            await trio.sleep(70)
            names = list(fleet.hosts)
            idle = [n for n in names if fleet[n].node._reader.rank >= 2]
            assert len(idle) == 4
            fleet.list_hosts(leaving=idle[:1])
            with trio.fail_after(5):
                await fleet[idle[0]].node_ended.wait()
            gone = [name for name in names if fleet[name].decisions_of("leaving")]
            assert gone == idle[:1]

    run_virtual(main)
