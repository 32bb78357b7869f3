"""The parts of a node that read its policy and hosts from outside."""

from collections.abc import Callable
from random import Random

from ..bundle.model import ReaderPolicy
from ..bundle.read_scheduler import ReadScheduler
from ..discovery.publication import Publication, Sinks
from ..settings.model import NodeSettings
from .clock import Clock
from .feed_task import FeedTask
from .policy_holder import PolicyHolder
from .surroundings import Surroundings


def build_reader(
    settings: NodeSettings, publication: Publication, random: Random, clock: Clock
) -> ReadScheduler:
    """Return the decisions on when this node reads."""
    return ReadScheduler(
        host=settings.host,
        availability_zone=settings.availability_zone,
        policy=publication.readers,
        keys=publication.keys,
        random=random,
        now_ms=clock.now_ms(),
        start_window_ms=publication.start_window_ms,
    )


def build_feed_tasks(
    *,
    around: Surroundings,
    holder: PolicyHolder,
    reader: ReadScheduler,
    sinks: Sinks,
    on_regained: Callable[[float], None],
) -> list[FeedTask]:
    """Return the tasks that follow the policy and the hosts."""

    def watch_ms() -> int:
        policy = holder.current()
        return (policy.bundle.readers if policy else ReaderPolicy()).watch_ms

    feeds = around.publication.feeds(around.network.connect, sinks, around.log)
    return [
        FeedTask(
            feed=feed,
            reader=reader,
            clock=around.clock,
            watch_ms=watch_ms,
            on_regained=on_regained,
            log=around.log,
        )
        for feed in feeds
    ]
