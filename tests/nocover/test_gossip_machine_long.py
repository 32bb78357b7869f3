"""The machine of ``tests/cover/test_gossip_machine.py``, with longer histories."""

from hypothesis import HealthCheck, settings

from ..cover.test_gossip_machine import GossipMachine


class LongGossipMachine(GossipMachine):
    """The rules and the oracle of ``GossipMachine``."""


TestLongGossipMachine = LongGossipMachine.TestCase
TestLongGossipMachine.settings = settings(
    max_examples=1_000,
    stateful_step_count=80,
    suppress_health_check=[HealthCheck.too_slow],
)
