"""When the watches of the readers end, seen from a silence of all connections."""

import heapq
from random import Random

import pytest

from jacinthshed.internal.bundle.model import ReaderPolicy
from jacinthshed.internal.bundle.read_scheduler import ReadAction, ReadScheduler

KEYS = ("bundle", "hosts")
WATCH_MS = 4_500
POLICY = ReaderPolicy(watch_ms=WATCH_MS, batch_ms=700, node_reads_per_s=5.0)
LATENCY_MS = 8.0
SETTLED_MS = 20_000.0
END_MS = 80_000.0
# The removal of a target has to be known 3 s after a silence of all connections. A call
# is given up 0.4 s after its wait, and the next call and gossip take up to 0.2 s.
MAX_QUIET_MS = 3_000.0 - 400.0 - 200.0


def quiet_times(random, *, readers, changes_ms):
    """Return the longest quiet time of the readers' watches, and their calls.

    A quiet time is how long no watch that waits ends if nothing changes. ``changes_ms``
    are the times of the changes of each key.
    """
    hosts = [f"h{number}" for number in range(readers)]
    schedulers = [new_scheduler(host, hosts, random) for host in hosts]
    # Time, whether a call ends, scheduler, key; a call ends before others begin.
    events = [(0.0, 1, at, key) for at in range(readers) for key in KEYS]
    waits_end_ms = {}
    longest_ms, calls = 0.0, 0
    while (event := heapq.heappop(events))[0] < END_MS:
        now_ms, starts, at, key = event
        if not starts:
            waits_end_ms.pop((at, key), None)
            schedulers[at].read_finished(now_ms, key, answered=True)
        decision = schedulers[at].decide(now_ms, key)
        if decision.action is ReadAction.WAIT:
            heapq.heappush(events, (now_ms + decision.wait_ms, 1, at, key))
            continue
        if decision.action is ReadAction.WATCH:
            waits_end_ms[at, key] = now_ms + decision.watch_ms
        later_ms = [ms for ms in changes_ms.get(key, ()) if ms > now_ms]
        ends_ms = min([now_ms + decision.watch_ms, *later_ms]) + LATENCY_MS
        heapq.heappush(events, (ends_ms, 0, at, key))
        if now_ms > SETTLED_MS:
            calls += 1
            longest_ms = max(longest_ms, min(waits_end_ms.values()) - now_ms)
    return longest_ms, calls


def new_scheduler(host, hosts, random):
    scheduler = ReadScheduler(
        host=host,
        availability_zone="a",
        policy=POLICY,
        keys=KEYS,
        random=Random(random.random()),
        now_ms=0.0,
    )
    for other in hosts:
        scheduler.member_up(0.0, other, "a")
    return scheduler


@pytest.mark.parametrize("seed", range(20))
def test_a_silence_is_noticed_in_time_though_the_readers_started_apart(seed):
    """Without changes, the watches of two readers ended together for good."""
    longest_ms, calls = quiet_times(Random(seed), readers=2, changes_ms={})
    assert longest_ms <= MAX_QUIET_MS
    # Two readers and two keys, with waits of 4.5 s and a shorter one now and then.
    assert calls <= 2 * 2 * (END_MS - SETTLED_MS) / WATCH_MS * 1.1


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("key", KEYS)
def test_a_silence_is_noticed_in_time_after_changes_of_one_key(seed, key):
    """After a change of one key, the watches of the other still ended together."""
    random = Random(seed)
    changes_ms = sorted(random.uniform(SETTLED_MS, END_MS) for _ in range(5))
    longest_ms, _ = quiet_times(random, readers=2, changes_ms={key: changes_ms})
    assert longest_ms <= MAX_QUIET_MS


@pytest.mark.parametrize("seed", range(10))
def test_a_single_reader_notices_a_silence_in_time(seed):
    """The other reader of the zone may be the one that is gone."""
    longest_ms, _ = quiet_times(Random(seed), readers=1, changes_ms={})
    assert longest_ms <= MAX_QUIET_MS
