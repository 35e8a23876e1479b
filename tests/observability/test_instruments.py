"""Numbers kept by a process, and the page made of them."""

import itertools
import subprocess
import sys

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from finchshed.observability.instruments import Counter, Gauge, Histogram, Info
from finchshed.observability.metrics_page import InstrumentCollector

_numbers = itertools.count()

LIBRARIES_NOT_NEEDED_AT_A_START = ("prometheus_client", "http.server", "aiohttp", "grpc", "email")


def name() -> str:
    """Return a name that no other metric of this process has."""
    return f"finchshed_test_{next(_numbers)}"


def page() -> list[str]:
    registry = CollectorRegistry()
    registry.register(InstrumentCollector())
    return generate_latest(registry).decode().splitlines()


def test_a_counter_with_labels_counts_each_combination() -> None:
    counted = name()
    counter = Counter(f"{counted}_total", "Things", ["kind", "size"])
    counter.labels("a", "b").inc()
    counter.labels("a", "b").inc(2)
    counter.labels("c", 'q"d').inc()
    lines = page()
    assert f'{counted}_total{{kind="a",size="b"}} 3.0' in lines
    assert f'{counted}_total{{kind="c",size="q\\"d"}} 1.0' in lines
    assert f"# TYPE {counted}_total counter" in lines
    with pytest.raises(ValueError, match="labels"):
        counter.inc()
    with pytest.raises(ValueError, match="labels"):
        counter.labels("a")


def test_a_metric_without_labels_is_there_from_the_start() -> None:
    counted, told = name(), name()
    Counter(counted, "Things")
    gauge = Gauge(told, "A value")
    assert f"{counted}_total 0.0" in page()
    gauge.set(True)
    gauge.inc()
    gauge.dec(0.5)
    assert f"{told} 1.5" in page()


def test_a_histogram_counts_up_to_and_with_each_bound() -> None:
    seen = name()
    histogram = Histogram(seen, "Times", buckets=(0.1, 1))
    for amount in (0.1, 0.5, 3.0):
        histogram.observe(amount)
    lines = page()
    assert f'{seen}_bucket{{le="0.1"}} 1.0' in lines
    assert f'{seen}_bucket{{le="1.0"}} 2.0' in lines
    assert f'{seen}_bucket{{le="+Inf"}} 3.0' in lines
    assert f"{seen}_count 3.0" in lines
    assert f"{seen}_sum 3.6" in lines


def test_facts_and_a_name_declared_twice() -> None:
    facts = name()
    Info(facts, "Facts").info({"zone": "a"})
    assert f'{facts}_info{{zone="a"}} 1.0' in page()
    with pytest.raises(ValueError, match="twice"):
        Gauge(facts, "Again")


@pytest.mark.parametrize("program", ["daemon", "control"])
def test_a_start_loads_no_library_that_it_can_do_without(program: str) -> None:
    script = f"import sys, finchshed_platform.{program}_program; print(*sys.modules)"
    command = [sys.executable, "-S", "-c", script]
    loaded = subprocess.run(
        command,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert not set(LIBRARIES_NOT_NEEDED_AT_A_START) & set(loaded)
