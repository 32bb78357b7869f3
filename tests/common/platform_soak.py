"""A run of overlapping troubles, with clients that keep their connections."""

import random
from collections import Counter, defaultdict

import trio

from jacinthshed.internal.http.client import BackendPool
from jacinthshed.internal.http.message import Response, header
from tests.common.machines import desired_state, entry_of, request, route
from tests.common.silent_connections import SERVICES, SilentMachines

LENGTH_S = 40
QUIET_S = 14
# Bounds of the platform: see tests/cover/test_platform_silent_connections.py.
STABLE_WINDOW_S, APPLY_S, WINDOW_S = 3, 2, 4
# The grace period of the platform.
MAX_LEAVE_S = 6
LIMIT_PER_S = 5.0
PROMISES_NOT_RUN = (408, 421, 429, 503)
ROUTES = [
    route("lookup", "/lookup/", "b"),
    route("order", "/order/", "c", kind="non_idempotent", max_attempts=3),
]


class Soak:
    """One run with the troubles that ``seed`` draws.

    ``problems`` are the broken promises, as texts.
    """

    def __init__(self, *, seed):
        self.problems = []
        self._random = random.Random(seed)
        self._seed = seed
        self._version = 1
        self._answers = defaultdict(list)
        self._stable_from_s = 0.0
        self._limited_s = {}
        self._restarting = set()
        self._outage = trio.Lock()

    async def run(self):
        """Play the troubles, then a quiet time, and check the promises."""
        async with trio.open_nursery() as nursery:
            self._fleet = SilentMachines(nursery, seed=self._seed)
            await self._fleet.start_store()
            self._publish()
            await self._fleet.add_all()
            self._entries = list(self._fleet.ips)
            await trio.sleep(5)
            async with trio.open_nursery() as clients:
                for number in range(6):
                    clients.start_soon(self._send_requests, number, LENGTH_S)
                async with trio.open_nursery() as troubles:
                    while trio.current_time() < LENGTH_S - 10:
                        troubles.start_soon(self._random.choice(self._troubles()))
                        await trio.sleep(4 * self._random.random())
            await trio.sleep(QUIET_S)
            await self._check_recovery()
            nursery.cancel_scope.cancel()
        self._check_runs()

    def _troubles(self):
        return (
            self._go_silent,
            self._cut_store,
            self._restart_node,
            self._limit_target,
            self._leave_target,
            self._change_policy,
            self._change_policy,
        )

    def _publish(self):
        state = desired_state(self._version, ROUTES, SERVICES)
        self._fleet.store.put("op/config", state)

    def _unstable_until(self, at_s):
        self._stable_from_s = max(self._stable_from_s, at_s + STABLE_WINDOW_S)

    async def _go_silent(self):
        self._fleet.go_silent()
        self._unstable_until(trio.current_time())

    async def _cut_store(self):
        async with self._outage:
            for_s = self._random.choice([0.5, 2, 4, 7])
            self._unstable_until(trio.current_time() + for_s)
            expire = for_s >= 4
            await self._fleet.silence_store(for_s=for_s, expire_entries=expire)
            if expire:
                await self._fleet.list_again(within_s=1.9)
            self._unstable_until(trio.current_time())

    async def _restart_node(self):
        ip = self._random.choice(self._entries)
        if ip in self._restarting:
            return
        self._restarting.add(ip)
        self._unstable_until(trio.current_time() + 10)
        self._fleet.nodes[ip].leave()
        service = SERVICES[self._fleet.ips.index(ip) % 4]
        for _ in range(MAX_LEAVE_S * 2):
            await trio.sleep(0.5)
            zone, seeds = self._fleet.zone_of(ip), self._fleet.ips[:3]
            try:
                await self._fleet.start_node(ip, service, zone=zone, seeds=seeds)
                is_started = True
            except* OSError:
                # The process before still has its addresses.
                is_started = False
            if is_started:
                self._restarting.discard(ip)
                return
        self.problems.append(f"the node at {ip} still runs {MAX_LEAVE_S} s after leave")

    async def _limit_target(self):
        ip = self._random.choice(self._fleet.ips)
        target = self._fleet.targets[ip]
        target.announced = ((b"server-limit", b"%.1f" % LIMIT_PER_S),)
        start_s = trio.current_time()
        await trio.sleep(STABLE_WINDOW_S + 6)
        target.announced = ()
        is_calm = not any(at_s > start_s for at_s in self._limited_s.values())
        self._limited_s[ip] = trio.current_time()
        starts = [at for at in target.started_s if at >= start_s + STABLE_WINDOW_S]
        most = max(
            (sum(a <= b < a + WINDOW_S for b in starts) for a in starts), default=0
        )
        if most > 1.5 * LIMIT_PER_S * WINDOW_S + 5 and is_calm:
            self.problems.append(f"{most} requests in 4 s at the limited {ip}")

    async def _leave_target(self):
        ip = self._random.choice(self._fleet.ips)
        service = SERVICES[self._fleet.ips.index(ip) % 4]
        zone = self._fleet.zone_of(ip)
        for state, born in (("draining", 1), ("ready", 2)):
            async with self._outage:
                entry = entry_of(
                    f"i-{ip}", ip, service, zone=zone, state=state, born=born
                )
                self._fleet.store.put(f"servers/i-{ip}", entry)
            await trio.sleep(5)

    async def _change_policy(self):
        async with self._outage:
            self._version += 1
            self._publish()
        version = self._version
        await trio.sleep(APPLY_S)
        while trio.current_time() < self._stable_from_s:
            await trio.sleep(0.1)
        late = [
            ip
            for ip, node in self._fleet.nodes.items()
            if node._components and node._components.holder.order.version < version
        ]
        if late:
            now_s = trio.current_time()
            self.problems.append(f"version {version} not in force at {now_s}: {late}")

    async def _send_requests(self, number, until_s):
        """Send requests over kept connections until their node closes them."""
        pools = {
            ip: BackendPool(
                connect=self._fleet.memory_network.connect,
                address=f"{ip}:1",
                max_connections=2,
            )
            for ip in self._entries
        }
        sent = 0
        while trio.current_time() < until_s:
            sent += 1
            ip = self._random.choice(self._entries)
            kind = self._random.choice(["order", "lookup"])
            attempt = f"{kind}-{number}-{sent}"
            asked = request(f"/{kind}/1", attempt, method=b"POST")
            answer = await pools[ip].request(
                asked, timeout_ms=2_000, max_body_bytes=10_000
            )
            self._answers[attempt].append(answer)
            await trio.sleep(0.05 * self._random.random())
        for pool in pools.values():
            await pool.close()

    async def _check_recovery(self):
        statuses = Counter()
        for ip in self._fleet.ips:
            for kind in ("lookup", "order"):
                asked = request(f"/{kind}/1", f"last-{kind}-{ip}", method=b"POST")
                statuses[(await self._fleet.send(ip, asked)).status] += 1
        if set(statuses) != {200}:
            self.problems.append(f"after the quiet time: {dict(statuses)}")
        if outdated := self._fleet.outdated(self._version):
            self.problems.append(f"after the quiet time, outdated: {outdated}")
        for ip, node in self._fleet.nodes.items():
            entries = node._components.state.directory.entries()
            if sorted(entry.host for entry in entries) != sorted(self._fleet.ips):
                self.problems.append(
                    f"after the quiet time, targets at {ip}: {entries}"
                )

    def _check_runs(self):
        runs = Counter()
        for target in self._fleet.targets.values():
            runs.update(target.runs)
        for attempt, answers in self._answers.items():
            if attempt.startswith("order") and runs[attempt] > 1:
                self.problems.append(f"{attempt} ran {runs[attempt]} times")
            for answer in answers:
                if isinstance(answer, Response):
                    self._check_answer(attempt, answer, runs[attempt])

    def _check_answer(self, attempt, answer, runs):
        if answer.status in PROMISES_NOT_RUN and runs and attempt.startswith("order"):
            self.problems.append(f"{attempt} ran, but got {answer.status}")
        seal = header(answer.headers, b"response-seal")
        if answer.status == 200 and seal != b"seal-" + attempt.encode():
            self.problems.append(f"{attempt} got the answer with {seal!r}")
