"""Renders the metrics of the process in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import REGISTRY, CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    InfoMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.registry import Collector

from finchshed.observability import ring
from finchshed.observability.instruments import (
    Counter,
    Gauge,
    Histogram,
    Info,
    Instrument,
    registered_instruments,
)
from finchshed.observability.process_metrics import RING_RECORDS

CONTENT_TYPE = CONTENT_TYPE_LATEST


class InstrumentCollector(Collector):
    """prometheus_client collector for the instruments of this process."""

    def collect(self) -> Iterator[Metric]:
        """Return a prometheus_client metric for each instrument."""
        return (_metric_of(instrument) for instrument in registered_instruments())


def render(registry: CollectorRegistry = REGISTRY) -> bytes:
    """Return the metrics page."""
    RING_RECORDS.set(len(ring.current().records()))
    return generate_latest(registry)


def _metric_of(instrument: Instrument) -> Metric:
    match instrument:
        case Counter():
            return _counter_of(instrument)
        case Gauge():
            return _gauge_of(instrument)
        case Histogram():
            return _histogram_of(instrument)
        case Info():
            return InfoMetricFamily(instrument.name, instrument.description, value=instrument.facts)
    raise TypeError(f"metric {instrument.name}: unsupported type {type(instrument).__name__}")


def _counter_of(counter: Counter) -> Metric:
    name = counter.name.removesuffix("_total")
    family = CounterMetricFamily(name, counter.description, labels=counter.label_names)
    for labels, value in counter.samples():
        family.add_metric(labels, value)
    return family


def _gauge_of(gauge: Gauge) -> Metric:
    family = GaugeMetricFamily(gauge.name, gauge.description, labels=gauge.label_names)
    for labels, value in gauge.samples():
        family.add_metric(labels, value)
    return family


def _histogram_of(histogram: Histogram) -> Metric:
    buckets = []
    count = 0
    bounds = [*(str(bound) for bound in histogram.bounds), "+Inf"]
    for bound, bucket_count in zip(bounds, histogram.counts, strict=True):
        count += bucket_count
        buckets.append((bound, count))
    return HistogramMetricFamily(
        histogram.name, histogram.description, buckets=buckets, sum_value=histogram.total
    )


REGISTRY.register(InstrumentCollector())
