"""Which lines of a request are written, how many, and the page of figures."""

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


def test_all_lines_of_a_failed_request_are_written_and_none_of_a_good_one(stream):
    configure_logging(stream=stream, decision_share=0.0)
    for request_id, failed in (("good", False), ("bad", True)):
        log_decision("routing", request_id=request_id, host="h")
        log_decision("admission", request_id=request_id, attempt_id=f"{request_id}.1")
        log_decision("request_ended", request_id=request_id, failed=failed)
    written = [json.loads(line) for line in stream.getvalue().splitlines()]
    events = [(line["event"], line["request_id"]) for line in written]
    assert events == [("routing", "bad"), ("request_ended", "bad")]


def test_lines_of_an_attempt_are_held_apart_from_those_of_its_request():
    held = RequestLineBuffer()
    held.put({"request_id": "r", "event": "routing"})
    held.put({"request_id": "r", "attempt_id": "r.1", "event": "admission"})
    ended = {"request_id": "r", "attempt_id": "r.1", "event": "end", "failed": True}
    assert [line["event"] for line in held.put(ended)] == ["admission", "end"]
    ended = {"request_id": "r", "event": "end", "failed": True}
    assert [line["event"] for line in held.put(ended)] == ["routing", "end"]


def test_held_lines_are_bounded():
    held = RequestLineBuffer()
    for number in range(MAX_REQUESTS + 1):
        held.put({"request_id": str(number), "event": "routing"})
    ended = {"event": "end", "failed": True}
    assert len(held.put({**ended, "request_id": "0"})) == 1
    assert len(held.put({**ended, "request_id": "1"})) == 2


def test_a_kind_of_line_has_a_budget_and_others_keep_theirs():
    budget = LineRateLimiter()
    taken = [budget.take(0.0, "noisy") for _ in range(int(BURST_LINES) + 10)]
    assert taken.count(True) == BURST_LINES
    assert budget.take(0.0, "quiet")
    assert budget.take(1.0, "noisy")
    assert budget.take_omitted_counts() == {"noisy": 10}
    assert budget.take_omitted_counts() == {}


def test_the_page_of_figures_reads_back():
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
