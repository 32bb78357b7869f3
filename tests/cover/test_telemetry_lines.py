"""Buffering and rate limits of log lines, and the Prometheus page."""

import io
import json

import pytest
from prometheus_client.parser import text_string_to_metric_families

from jacinthshed.internal.telemetry.exposition import metrics_page
from jacinthshed.internal.telemetry.line_rate_limiter import (
    BURST_LINES,
    LineRateLimiter,
)
from jacinthshed.internal.telemetry.log import configure_logging, log_decision
from jacinthshed.internal.telemetry.metrics import Metrics
from jacinthshed.internal.telemetry.request_line_buffer import (
    MAX_REQUESTS,
    RequestLineBuffer,
)


@pytest.fixture
def stream():
    yield io.StringIO()
    configure_logging()


def test_unsampled_lines_are_written_only_if_the_request_fails(stream):
    configure_logging(stream=stream, decision_share=0.0)
    for request_id, failed in (("good", False), ("bad", True)):
        log_decision("routing", request_id=request_id, host="h")
        log_decision("admission", request_id=request_id, attempt_id=f"{request_id}.1")
        log_decision("request_ended", request_id=request_id, failed=failed)
    written = [json.loads(line) for line in stream.getvalue().splitlines()]
    events = [(line["event"], line["request_id"]) for line in written]
    assert events == [("routing", "bad"), ("request_ended", "bad")]


def test_lines_of_an_attempt_are_buffered_apart_from_those_of_its_request():
    line_buffer = RequestLineBuffer()
    line_buffer.put({"request_id": "r", "event": "routing"})
    line_buffer.put({"request_id": "r", "attempt_id": "r.1", "event": "admission"})
    ended = {"request_id": "r", "attempt_id": "r.1", "event": "end", "failed": True}
    assert [line["event"] for line in line_buffer.put(ended)] == ["admission", "end"]
    ended = {"request_id": "r", "event": "end", "failed": True}
    assert [line["event"] for line in line_buffer.put(ended)] == ["routing", "end"]


def test_the_number_of_buffered_requests_is_bounded():
    line_buffer = RequestLineBuffer()
    for number in range(MAX_REQUESTS + 1):
        line_buffer.put({"request_id": str(number), "event": "routing"})
    ended = {"event": "end", "failed": True}
    assert len(line_buffer.put({**ended, "request_id": "0"})) == 1
    assert len(line_buffer.put({**ended, "request_id": "1"})) == 2


def test_each_kind_of_line_has_its_own_rate_limit():
    limiter = LineRateLimiter()
    results = [limiter.take(0.0, "noisy") for _ in range(int(BURST_LINES) + 10)]
    assert results.count(True) == BURST_LINES
    assert limiter.take(0.0, "quiet")
    assert limiter.take(1.0, "noisy")
    assert limiter.take_omitted_counts() == {"noisy": 10}
    assert limiter.take_omitted_counts() == {}


def test_the_metrics_page_can_be_parsed():
    metrics = Metrics()
    metrics.increment("request_ended", 2)
    metrics.increment("request_ended.shed")
    for elapsed_ms in (0.5, 7.0, 9_000.0):
        metrics.timing("request_ended.elapsed_ms", elapsed_ms)
    page = metrics_page(metrics, {"admission.waiting": 3.0}).decode()
    samples = {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(page)
        for sample in family.samples
    }
    assert samples["jacinthshed_decisions_total", "", "request_ended"] == 2
    assert samples["jacinthshed_decisions_total", "request_ended", "shed"] == 1
    assert samples["jacinthshed_elapsed_ms_bucket", "10", "request_ended"] == 2
    assert samples["jacinthshed_elapsed_ms_count", "request_ended"] == 3
    assert samples["jacinthshed_admission_waiting",] == 3
