"""Metrics of the replicated state as this node holds it."""

import asyncio
from collections.abc import Callable

from finchshed.control.state.machine import ControlStateMachine
from finchshed.observability.instruments import Gauge

OBSERVE_SECONDS = 1.0
"""Time between settings of the gauges. Chosen, not measured."""

REVISION = Gauge("finchshed_control_revision", "Revision of the configuration applied here")
DAEMONS = Gauge("finchshed_control_daemons", "Daemons connected to this control node")
LEDGER_KEYS = Gauge("finchshed_ledger_keys", "Keys held by the ledger", ["state"])
LEDGER_ANSWER_BYTES = Gauge("finchshed_ledger_answer_bytes", "Bytes of answers held by the ledger")
LEDGER_TIME = Gauge(
    "finchshed_ledger_time_seconds", "Unix time of the log's last entry, that keys' ages go by"
)


async def observe_state(machine: ControlStateMachine, daemons: Callable[[], int]) -> None:
    """Set the gauges every second, until cancelled."""
    while True:
        ledger = machine.ledger
        REVISION.set(machine.store.revision)
        DAEMONS.set(daemons())
        for state, count in ledger.counts().items():
            LEDGER_KEYS.labels(state).set(count)
        LEDGER_ANSWER_BYTES.set(ledger.total_answer_bytes)
        LEDGER_TIME.set(ledger.time)
        await asyncio.sleep(OBSERVE_SECONDS)
