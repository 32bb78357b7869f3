"""One simulated run of a deployment, a case and a stack of mechanisms."""

import random
from itertools import count

from jacinthshed.internal.admission import ROOT_HASH_SPAN, hash_of_root

from .callers import Callers
from .case import AFTER_END_MS, Case
from .clock import Clock
from .deployment import (
    JITTER_SHARE,
    LOSS_SHARE,
    RETRANSMIT_MS,
    SAME_ZONE_DELAY_MS,
    Deployment,
)
from .model import Hop, Root
from .node import Node
from .stack import Stack
from .target import Target


class World:
    """The state of one run. The same seed gives the same run."""

    def __init__(
        self, *, deployment: Deployment, case: Case, stack: Stack, seed: int
    ) -> None:
        self.deployment = deployment
        self.case = case
        self.stack = stack
        self.clock = Clock()
        self.random = random.Random(seed)
        self.nodes: list[Node] = []
        self.zone_of: dict[str, str] = {}
        self.attempts = 0
        self.first_attempts = 0
        self._ids = count()
        self.targets = {
            service: [
                Target(self, f"{service}-{zone}", service, zone)
                for zone in deployment.zones
            ]
            for service in deployment.services
        }
        self.callers = Callers(self)

    def run(self) -> list[Root]:
        """Run the case to its end and return all roots."""
        end_ms = self.case.end_ms + AFTER_END_MS
        self.callers.start(end_ms)
        self.clock.run(end_ms)
        return self.callers.roots

    def new_node(self, name: str, zone: str) -> Node:
        """Create and register the node of one host."""
        node = Node(self, name, zone)
        self.nodes.append(node)
        self.zone_of[name] = zone
        return node

    def new_id(self) -> str:
        """Return an id that is unique in the run."""
        return str(next(self._ids))

    def hash_of(self, root: Root) -> int:
        """Return the hash that orders the root in admission.

        Without ``Stack.root_hash`` it is random at each call.
        """
        if self.stack.root_hash:
            return root.root_hash
        return self.random.randrange(ROOT_HASH_SPAN)

    def own_ms(self, service: str) -> float:
        """Return a random time that a backend server needs for one call itself."""
        mean_ms = self.deployment.services[service].own_ms
        slowness = self.case.slowness(self.deployment, service, self.clock.now_ms)
        return mean_ms * slowness * self.random.uniform(0.5, 1.5)

    def count_attempt(self, hop: Hop) -> None:
        """Count an attempt, and a first attempt unless it is a retry or a resend."""
        self.attempts += 1
        if hop.attempts == 1 and not (hop.depth == 0 and hop.root.refusals):
            self.first_attempts += 1

    def send(self, from_zone: str, to_zone: str, action, *args) -> None:
        """Call ``action`` after the delay of a message from zone to zone.

        A lost message arrives ``RETRANSMIT_MS`` later, as links are streams.
        """
        is_same_zone = from_zone == to_zone
        base_ms = SAME_ZONE_DELAY_MS if is_same_zone else self.deployment.zone_delay_ms
        delay_ms = base_ms * (1 + self.random.uniform(0, JITTER_SHARE))
        if self.random.random() < LOSS_SHARE:
            delay_ms += RETRANSMIT_MS
        self.clock.after(delay_ms, action, *args)

    def new_root(self, route: str) -> Root:
        """Return a new root of ``route`` that arrives now."""
        spec = self.deployment.routes[route]
        number = next(self._ids)
        root_hash = hash_of_root(f"{route}/{number}")
        return Root(number, route, spec.rank, root_hash, spec.path, self.clock.now_ms)
