"""Builds the tasks that read a node's policy and hosts from their source."""

from collections.abc import Callable
from functools import partial
from random import Random

from ..bundle.read_scheduler import ReadScheduler
from ..discovery.feed import Feed
from ..discovery.publication import Publication, Sinks
from ..settings.model import NodeSettings
from .clock import Clock
from .environment import Environment
from .feed_task import FeedTask


def build_platform_reader(
    settings: NodeSettings, publication: Publication, random: Random, clock: Clock
) -> ReadScheduler:
    """Return the scheduler of this node's reads."""
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
    env: Environment,
    reader: ReadScheduler,
    sinks: Sinks,
    on_answer: Callable[[float], None],
    take_read_again_ms: Callable[[], float | None],
    on_failure: Callable[[], None],
    on_policy_read: Callable[[float], None],
) -> list[FeedTask]:
    """Return one task for each feed of the publication.

    When a call fails, the connections on which the other feeds wait may be silent too.
    ``on_policy_read`` gets the time at which the newest policy is known.
    """
    tasks: list[FeedTask] = []

    def failed(feed: Feed, is_first: bool) -> None:
        on_failure()
        for task in tasks:
            if is_first and task.feed is not feed:
                task.restart_watch()

    policy_key, store = env.publication.keys[0], env.settings.store
    feeds = env.publication.feeds(env.network.connect, sinks, env.log)
    tasks += [
        FeedTask(
            feed=feed,
            reader=reader,
            clock=env.clock,
            on_answer=on_answer,
            take_read_again_ms=take_read_again_ms,
            on_failure=partial(failed, feed),
            on_newest=on_policy_read if feed.key == policy_key else None,
            starts_outdated=store is None or store.first_start,
            log=env.log,
        )
        for feed in feeds
    ]
    return tasks
