"""Metrics of the replicated state on this node."""

import asyncio
from collections.abc import Callable, Mapping

from finchshed.control.state.machine import ControlStateMachine
from finchshed.observability.instruments import Gauge

GAUGE_INTERVAL_SECONDS = 1.0
"""Interval between updates of the gauges."""

REVISION = Gauge("finchshed_control_revision", "Revision of the configuration applied here")
DAEMONS = Gauge("finchshed_control_daemons", "Daemons connected to this control node")
HISTORY_BYTES = Gauge(
    "finchshed_control_history_bytes",
    "Changes kept for receivers that are a few changes behind, in encoded form",
    ["receivers"],
)
LEDGER_KEYS = Gauge("finchshed_ledger_keys", "Keys held by the ledger", ["state"])
LEDGER_ANSWER_BYTES = Gauge("finchshed_ledger_answer_bytes", "Bytes of answers held by the ledger")
LEDGER_TIME = Gauge(
    "finchshed_ledger_time_seconds", "Unix time of the log's last entry, that keys' ages go by"
)


async def update_state_gauges(
    machine: ControlStateMachine,
    count_daemons: Callable[[], int],
    history_bytes: Callable[[], Mapping[str, int]],
) -> None:
    """Update the gauges periodically until cancelled."""
    while True:
        ledger = machine.ledger
        REVISION.set(machine.store.revision)
        DAEMONS.set(count_daemons())
        for receivers, size in history_bytes().items():
            HISTORY_BYTES.labels(receivers).set(size)
        for state, count in ledger.counts().items():
            LEDGER_KEYS.labels(state).set(count)
        LEDGER_ANSWER_BYTES.set(ledger.total_answer_bytes)
        LEDGER_TIME.set(ledger.time)
        await asyncio.sleep(GAUGE_INTERVAL_SECONDS)
