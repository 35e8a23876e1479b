"""Instruments appear correctly on the metrics page."""

import itertools
import subprocess
import sys

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from finchshed.observability.instruments import Counter, Gauge, Histogram, Info
from finchshed.observability.metrics_page import InstrumentCollector

_numbers = itertools.count()

LAZILY_LOADED_LIBRARIES = ("prometheus_client", "http.server", "aiohttp", "grpc", "email")


def unique_name() -> str:
    """Return an unused metric name."""
    return f"finchshed_test_{next(_numbers)}"


def page_lines() -> list[str]:
    registry = CollectorRegistry()
    registry.register(InstrumentCollector())
    return generate_latest(registry).decode().splitlines()


def test_a_counter_with_labels_counts_each_combination() -> None:
    counted = unique_name()
    counter = Counter(f"{counted}_total", "Things", ["kind", "size"])
    counter.labels("a", "b").inc()
    counter.labels("a", "b").inc(2)
    counter.labels("c", 'q"d').inc()
    lines = page_lines()
    assert f'{counted}_total{{kind="a",size="b"}} 3.0' in lines
    assert f'{counted}_total{{kind="c",size="q\\"d"}} 1.0' in lines
    assert f"# TYPE {counted}_total counter" in lines
    with pytest.raises(ValueError, match="labels"):
        counter.inc()
    with pytest.raises(ValueError, match="labels"):
        counter.labels("a")


def test_a_metric_without_labels_is_reported_before_its_first_update() -> None:
    counted, current = unique_name(), unique_name()
    Counter(counted, "Things")
    gauge = Gauge(current, "A value")
    assert f"{counted}_total 0.0" in page_lines()
    gauge.set(True)
    gauge.inc()
    gauge.dec(0.5)
    assert f"{current} 1.5" in page_lines()


def test_histogram_bounds_are_inclusive() -> None:
    seen = unique_name()
    histogram = Histogram(seen, "Times", buckets=(0.1, 1))
    for amount in (0.1, 0.5, 3.0):
        histogram.observe(amount)
    lines = page_lines()
    assert f'{seen}_bucket{{le="0.1"}} 1.0' in lines
    assert f'{seen}_bucket{{le="1.0"}} 2.0' in lines
    assert f'{seen}_bucket{{le="+Inf"}} 3.0' in lines
    assert f"{seen}_count 3.0" in lines
    assert f"{seen}_sum 3.6" in lines


def test_info_metric_and_duplicate_name() -> None:
    facts = unique_name()
    Info(facts, "Facts").info({"zone": "a"})
    assert f'{facts}_info{{zone="a"}} 1.0' in page_lines()
    with pytest.raises(ValueError, match="twice"):
        Gauge(facts, "Again")


@pytest.mark.parametrize("program", ["daemon", "control"])
def test_startup_does_not_load_optional_libraries(program: str) -> None:
    script = f"import sys, finchshed_platform.{program}_program; print(*sys.modules)"
    command = [sys.executable, "-S", "-c", script]
    loaded = subprocess.run(
        command,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert not set(LAZILY_LOADED_LIBRARIES) & set(loaded)
