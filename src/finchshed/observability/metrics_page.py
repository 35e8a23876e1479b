"""The page of a process's metrics, in Prometheus' text format."""

from prometheus_client import REGISTRY, CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from finchshed.observability import ring
from finchshed.observability.process_metrics import RING_RECORDS

CONTENT_TYPE = CONTENT_TYPE_LATEST


def render(registry: CollectorRegistry = REGISTRY) -> bytes:
    """Return the page."""
    RING_RECORDS.set(len(ring.current().records()))
    return generate_latest(registry)
