"""Planned stops at any moment: each request that a node has read gets one answer."""

import json

import trio
from hypothesis import HealthCheck, given, settings, strategies as st

from tests.common.fleet import run_virtual
from tests.common.machines import desired_state, machines, request, route

LAYOUT = {"10.0.0.1": "a", "10.0.0.2": "b", "10.0.0.3": "b"}
TIMEOUT_S = 30
DEADLINE_MS = "20000"
GRACE_S = 6.0
# The longest work outlasts a stop; the targets have four slots each.
WORK_MS = [20.0, 900.0, 2_500.0, 12_000.0]
PATHS = {"/lookup/": "idempotent", "/order/": "non_idempotent"}
STATE = desired_state(
    routes=[
        route(path.strip("/"), path, "b", kind=kind, timeout_s=TIMEOUT_S, priority=1)
        for path, kind in PATHS.items()
    ]
)

ips = st.sampled_from(sorted(LAYOUT))
moments_s = st.integers(0, 90).map(lambda tenths: tenths / 10)
sends = st.lists(
    st.tuples(moments_s, ips, st.sampled_from(sorted(PATHS))), min_size=6, max_size=30
)
# The second stop is of the same node, as by a second signal, or of a peer.
stops = st.lists(st.tuples(moments_s, ips), min_size=1, max_size=2)
breaks = st.lists(st.tuples(moments_s, ips), max_size=2)


class Scenario:
    """Requests and stops of one fleet, and what came of them."""

    def __init__(self, fleet, nursery):
        self.fleet = fleet
        self.nursery = nursery
        self.began_s = trio.current_time()
        self.sent = {}
        self.ended = {}

    async def send(self, at_s, ip, path, attempt):
        """Send a request, and keep its outcome."""
        await trio.sleep(at_s)
        self.sent[attempt] = (trio.current_time(), ip)
        sent = request(f"{path}1", attempt, deadline_ms=DEADLINE_MS)
        self.ended[attempt] = await self.fleet.send(ip, sent, timeout_ms=25_000)

    async def stop(self, at_s, ip):
        """Begin a planned stop, or ask once more for it."""
        await trio.sleep(at_s)
        self.fleet.nodes[ip].leave()

    async def break_links(self, at_s, ip):
        """Close all links of a node to its peers."""
        await trio.sleep(at_s)
        components = self.fleet.nodes[ip]._components
        for link in components.links.stream_links():
            link.close()

    def runs_of(self, attempt):
        """Return how often the request ran at all targets."""
        return sum(t.runs.get(attempt, 0) for t in self.fleet.targets.values())

    def has_left(self, ip):
        """Return whether the planned stop of a node has ended."""
        return any(line["event"] == "left" for line in self.fleet.logs[ip])


def problem_with(scenario, attempt, path, left_s):
    """Return what is wrong with the end of a request, or ``None``."""
    outcome = scenario.ended[attempt]
    sent_s, ip = scenario.sent[attempt]
    status = getattr(outcome, "status", None)
    if status is None:
        # Nobody read it: the process had ended.
        return None if sent_s >= left_s.get(ip, sent_s + 1) else "no whole answer"
    runs = scenario.runs_of(attempt)
    if path == "/order/" and runs > 1:
        return f"ran {runs} times"
    if status >= 500 and json.loads(outcome.body)["verdict"] == "not-run" and runs:
        return f"{status} said not-run and it ran"
    return None


@settings(max_examples=60, suppress_health_check=[HealthCheck.too_slow])
@given(sends, stops, breaks, st.sampled_from(WORK_MS))
def test_each_request_that_a_node_has_read_gets_one_true_answer(
    sends, stops, breaks, work_ms
):
    """Stops closed connections without an answer, depending on where work waited."""

    async def main():
        async with (
            machines(LAYOUT, STATE) as fleet,
            trio.open_nursery() as nursery,
        ):
            for target in fleet.targets.values():
                target.work_ms = work_ms
            scenario = Scenario(fleet, nursery)
            for number, (at_s, ip, path) in enumerate(sends):
                nursery.start_soon(scenario.send, at_s, ip, path, f"r{number}")
            for at_s, ip in stops:
                nursery.start_soon(scenario.stop, at_s, ip)
            for at_s, ip in breaks:
                nursery.start_soon(scenario.break_links, at_s, ip)
            left_s = await watch(scenario, {ip: at_s for at_s, ip in reversed(stops)})
            await trio.sleep(25)
            problems = [
                (number, at_s, ip, path, found)
                for number, (at_s, ip, path) in enumerate(sends)
                if (found := problem_with(scenario, f"r{number}", path, left_s))
            ]
            assert problems == []
            nursery.cancel_scope.cancel()

    run_virtual(main)


async def watch(scenario, stopping):
    """Wait for the end of all stops; return when each of the nodes had left."""
    left_s = {}
    while stopping.keys() - left_s.keys():
        await trio.sleep(0.01)
        now_s = trio.current_time()
        for ip, at_s in stopping.items():
            if ip not in left_s and scenario.has_left(ip):
                left_s[ip] = now_s - 0.02
            assert ip in left_s or now_s < scenario.began_s + at_s + GRACE_S
    return left_s
