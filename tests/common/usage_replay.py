"""Copies of the usage accounts of many nodes, on one clock and without a network."""

import heapq
import random
from itertools import count

from jacinthshed.internal.wire.usage import UsageReport
from jacinthshed.internal.workspace.usage_exchange import UsageExchange
from jacinthshed.internal.workspace.usage_home import Limit

TICK_MS = 100.0
LINK_MS = 10.0


class Nodes:
    """Nodes that exchange reports over links of ``LINK_MS``.

    ``cut`` nodes neither send nor receive. ``frames`` counts what was sent, and
    ``admitted`` and ``refused`` hold the times of the requests of the workspace ``w``.
    """

    def __init__(self, number, limit, seed=1):
        self.limit = limit
        self.now_ms = 0.0
        self.random = random.Random(seed)
        self.cut = set()
        self.frames = 0
        self.admitted = []
        self.refused = []
        self._order = count()
        self._events = []
        self.names = [f"n{index}" for index in range(number)]
        self.nodes = {name: self._new(name) for name in self.names}
        for name in self.names:
            self.later(self.random.random() * TICK_MS, self._tick, name)

    def _new(self, name):
        return UsageExchange(
            own_host=name,
            hosts=lambda: self.names,
            limits=self.limit_of,
            send=lambda host, frame: self._send(name, host, frame),
            now_ms=lambda: self.now_ms,
            random=self.random,
            log=lambda event, **fields: None,
        )

    def limit_of(self, workspace):
        """Return the limit of ``workspace``."""
        return self.limit

    def restart(self, *names):
        """Replace nodes by new ones, which know nothing."""
        for name in names:
            self.nodes[name] = self._new(name)

    def home(self):
        """Return the home of the workspace."""
        return self.nodes["n0"]._home_of(self.now_ms, "w")

    def later(self, delay_ms, action, *arguments):
        """Call ``action`` after ``delay_ms``."""
        at_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._order), action, arguments))

    def run(self, for_s, *, per_s, at=None):
        """Send ``per_s`` requests a second to random nodes of ``at`` for ``for_s``."""
        names = at or self.names
        end_ms = self.now_ms + for_s * 1_000
        next_ms = self.now_ms + self.random.expovariate(per_s) * 1_000
        while min(next_ms, self._events[0][0]) < end_ms:
            if next_ms < self._events[0][0]:
                self.now_ms = next_ms
                self._request(self.random.choice(names))
                next_ms += self.random.expovariate(per_s) * 1_000
            else:
                self.next_event()
        self.now_ms = end_ms

    def next_event(self):
        """Let the next thing happen that was to happen later."""
        self.now_ms, _, action, arguments = heapq.heappop(self._events)
        action(*arguments)

    def most_in(self, window_s):
        """Return the most admitted requests in any window."""
        most = first = 0
        for last, at_ms in enumerate(self.admitted):
            while self.admitted[first] < at_ms - window_s * 1_000:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _request(self, name):
        refusal = self.nodes[name].admit("w")
        (self.admitted if refusal is None else self.refused).append(self.now_ms)

    def _tick(self, name):
        self.nodes[name].tick()
        self.later(TICK_MS, self._tick, name)

    def _send(self, sender, host, frame):
        self.frames += 1
        if not self.cut & {sender, host}:
            self.later(LINK_MS, self._deliver, sender, host, frame)

    def _deliver(self, sender, host, frame):
        receiver = self.nodes[host]
        if isinstance(frame, UsageReport):
            self._send(host, sender, receiver.answer(frame))
        else:
            receiver.receive_share(frame)


def limit(rate_per_s, burst):
    """Return a limit."""
    return Limit(rate_per_s, burst)
