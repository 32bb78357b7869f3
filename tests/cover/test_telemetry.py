import io
import json
from collections import Counter

import pytest
import trio
import trio.testing
from hypothesis import given, strategies as st

from jacinthshed import Reason, Verdict
from jacinthshed.internal.telemetry.counting_log import counting_log
from jacinthshed.internal.telemetry.log import (
    configure_logging,
    get_logger,
    log_decision,
)
from jacinthshed.internal.telemetry.metrics import MAX_TIMINGS, Metrics, send_metrics
from jacinthshed.internal.telemetry.sampling import is_sampled
from jacinthshed.internal.telemetry.sink import LogSink


class RecordingPipeline:
    """Statsd pipeline that records what it is given."""

    def __init__(self):
        self.counts = Counter()
        self.gauges = {}
        self.timings = Counter()
        self.sends = 0

    def incr(self, stat, count):
        self.counts[stat] += count

    def gauge(self, stat, value):
        self.gauges[stat] = value

    def timing(self, stat, delta):
        self.timings[stat] += 1

    def send(self):
        self.sends += 1


@pytest.fixture
def stream():
    """Provide a stream to log to; logging goes back to standard error afterwards."""
    yield io.StringIO()
    configure_logging()


def log_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


@given(
    request_ids=st.lists(st.text(max_size=8), max_size=50, unique=True),
    share=st.floats(0, 1),
)
def test_a_sampled_request_is_sampled_at_any_greater_share(request_ids, share):
    for request_id in request_ids:
        assert is_sampled(request_id, 1.0)
        assert not is_sampled(request_id, 0.0)
        if is_sampled(request_id, share):
            assert is_sampled(request_id, (1 + share) / 2)


def test_a_tenth_of_the_requests_is_sampled():
    count = sum(is_sampled(f"{number:016x}", 0.1) for number in range(10_000))
    assert 900 < count < 1_100


def test_decisions_are_sampled_and_other_entries_are_not(stream):
    configure_logging(stream=stream, decision_share=0.0)
    log_decision("target chosen", request_id="1", reason="own zone")
    log_decision("bundle accepted", version=3)
    get_logger("test").warning("something else", request_id="1")
    assert [line["event"] for line in log_lines(stream)] == [
        "bundle accepted",
        "something else",
    ]


def test_a_full_queue_drops_and_counts_entries_without_waiting():
    stream = io.StringIO()
    sink = LogSink(stream=stream, render=json.dumps, max_entries=10)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sink.run)
            await trio.testing.wait_all_tasks_blocked()
            for number in range(25):
                sink.put({"event": number})
            assert stream.getvalue() == ""
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())
    written = log_lines(stream)
    assert [line["event"] for line in written[:10]] == list(range(10))
    assert written[10:] == [{"event": "log entries dropped", "count": 15}]


def test_metrics_are_summed_between_flushes():
    metrics = Metrics()
    pipeline = RecordingPipeline()
    for number in range(MAX_TIMINGS * 3):
        metrics.increment("requests")
        metrics.timing("request_ms", number)
        metrics.gauge("in_flight", number)
    metrics.flush(pipeline)
    metrics.flush(pipeline)
    assert pipeline.counts == {"requests": MAX_TIMINGS * 3}
    assert pipeline.timings == {"request_ms": MAX_TIMINGS}
    assert pipeline.gauges == {"in_flight": MAX_TIMINGS * 3 - 1}
    assert pipeline.sends == 2


def test_a_decision_is_counted_even_when_it_is_not_logged():
    metrics = Metrics()
    pipeline = RecordingPipeline()
    logged = []
    log = counting_log(metrics, log=lambda event, **fields: logged.append(event))
    log("request_ended", verdict=Verdict.NOT_RUN, reason=Reason.SHED, elapsed_ms=2.5)
    log("request_ended", verdict=Verdict.RAN, reason="", elapsed_ms=9.0)
    log("platform_failed", reason="some text of any length")
    metrics.flush(pipeline)
    assert pipeline.counts == {
        "request_ended": 2,
        "request_ended.not-run": 1,
        "request_ended.shed": 1,
        "request_ended.ran": 1,
        "platform_failed": 1,
    }
    assert pipeline.timings == {"request_ended.elapsed_ms": 2}
    assert len(logged) == 3


def test_metrics_are_sent_over_udp():
    received = []

    async def main():
        server = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await server.bind(("127.0.0.1", 0))
        host, port = server.getsockname()
        metrics = Metrics()
        metrics.increment("requests", 3)
        async with trio.open_nursery() as nursery:

            async def send():
                await send_metrics(
                    metrics, host=host, port=port, read_gauges=lambda: {"queue": 7}
                )

            nursery.start_soon(send)
            with trio.fail_after(10):
                received.append((await server.recv(2_000)).decode())
            nursery.cancel_scope.cancel()
        server.close()

    trio.run(main)
    assert received == ["jacinthshed.requests:3|c\njacinthshed.queue:7|g"]
