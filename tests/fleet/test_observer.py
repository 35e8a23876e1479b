from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.exposition import generate_latest

from finchshed.fleet.observer import parse_unlabelled_samples


def test_samples_without_labels_are_parsed() -> None:
    registry = CollectorRegistry()
    Gauge("revision", "Its help, with spaces", registry=registry).set(12)
    Counter("calls", "Calls", ["service"], registry=registry).labels("a").inc()
    values = parse_unlabelled_samples(generate_latest(registry).decode())
    assert values["revision"] == 12.0
    assert not any(name.startswith("calls") for name in values)
