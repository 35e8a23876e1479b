"""Process-level metrics: identity, event loop lag, log ring size, shutdown.

CPU time, memory and open files are reported by prometheus_client's process collector.
"""

import asyncio

from finchshed.observability.instruments import Gauge, Histogram, Info

BUILD = Info("finchshed_process", "Program, node, zone and version of this process")

LOOP_LAG = Histogram(
    "finchshed_event_loop_lag_seconds",
    "How late the event loop ran a timer; high values mean that the process lacks processor time",
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0),
)

STOPPING = Gauge("finchshed_stopping", "1 while a planned stop is in progress")

RING_RECORDS = Gauge("finchshed_log_ring_records", "Log records in the ring")

LAG_INTERVAL_SECONDS = 1.0
"""Interval between lag measurements."""


def identify(program: str, node: str, zone: str, version: str) -> None:
    """Set the process identity reported in the metrics."""
    BUILD.info({"program": program, "node": node, "zone": zone, "version": version})


async def measure_loop_lag(interval_seconds: float = LAG_INTERVAL_SECONDS) -> None:
    """Measure the event loop lag periodically until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + interval_seconds
        await asyncio.sleep(interval_seconds)
        LOOP_LAG.observe(max(0.0, loop.time() - due))
