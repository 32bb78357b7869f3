"""Readers of what a node exports: the metrics page, and lines to statsd."""

from prometheus_client.parser import text_string_to_metric_families

from jacinthshed.internal.telemetry.exposition import metrics_page
from jacinthshed.internal.telemetry.metrics import Metrics


def page_samples(gauges):
    """Return the samples of the metrics page of a node with ``gauges``."""
    page = metrics_page(Metrics(), gauges).decode()
    families = text_string_to_metric_families(page)
    return [sample for family in families for sample in family.samples]


class GaugePipeline:
    """Statsd pipeline that keeps the gauges it is given."""

    def __init__(self):
        self.gauges = {}

    def gauge(self, stat, value):
        self.gauges[stat] = value

    def send(self):
        """Do nothing."""


def sent_gauges(metrics):
    """Return the gauges of one flush by name."""
    pipeline = GaugePipeline()
    metrics.flush(pipeline)
    return pipeline.gauges
