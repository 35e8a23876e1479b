"""Divides the memory of a control process among what grows with the size of configurations.

A configuration may be as large as an operator makes it, so histories and queues whose entries hold
one are bounded in bytes. Every part is a fraction of the process's memory.
"""

LOG_DIVISOR = 32
"""The log keeps this part in memory before a snapshot, and as much after it."""

MAX_LOG_BYTES = 16 << 20
"""The same at the most, whatever the memory; a start reads as much from the disk."""

UNCOMMITTED_DIVISOR = 16
"""Part for entries that no quorum has acknowledged, or that wait for the disk of this node."""

HISTORY_DIVISOR = 96
"""Part for changes in encoded form, kept for daemons and for watches; decoded they take about
three times as much."""

PEER_DIVISOR = 32
"""Part for what waits to be sent to one other control node."""

IN_FLIGHT_DIVISOR = 64
"""Part for entries sent to one control node and not acknowledged; encoded they take a third more,
and heartbeats must find room behind them."""

SUBSCRIBERS_DIVISOR = 16
"""Part for what waits to be sent to all daemons together."""

DOCUMENT_DIVISOR = 128
"""Part for one configuration as the operator sends it. While it is accepted, a process holds it as
text, as objects, in the log, in a snapshot and in a message to each other control node."""

MIN_DOCUMENT_BYTES = 256 << 10
"""Size of a configuration that is accepted whatever the memory."""

LEDGER_DIVISOR = 2
"""Part for the keys and answers of the ledger, in the state and in the latest two snapshots."""

LEDGER_ANSWERS_DIVISOR = 2
"""Part of the ledger's memory that answers may take, so that they leave room for keys: without
its answer a request runs, without a key it is refused."""

LEDGER_KEY_BYTES = 1_200
"""Memory of one key of the ledger and of an empty answer."""

LEDGER_HEADER_BYTES = 220
"""Memory of one header field of an answer, without its text: objects take most of it."""

LEDGER_ANSWER_COPIES = 4
"""Memory for each byte of an answer: the answer, and its encoded form, a third larger, in the
latest snapshot and in one that is just taken."""


class ControlMemoryPlan:
    """What a control process may hold, derived from its memory.

    Parameters
    ----------
    max_memory_bytes
        Memory of the process.

    Attributes
    ----------
    log_bytes
        Entries kept in memory before a snapshot, and those applied after one until the next.
    uncommitted_bytes
        Entries that wait for a quorum, or for the disk.
    history_bytes
        Encoded changes kept for receivers that are a few changes behind.
    peer_unsent_bytes
        Unsent bytes to one control node above which messages to it are dropped.
    in_flight_bytes
        Unacknowledged entries sent to one control node.
    subscribers_unsent_bytes
        Unsent bytes to all daemons together above which changes are held back.
    document_bytes
        Largest configuration that is accepted.
    ledger_bytes
        Keys and answers of the ledger.
    """

    def __init__(self, max_memory_bytes: int) -> None:
        self.log_bytes = min(MAX_LOG_BYTES, max_memory_bytes // LOG_DIVISOR)
        self.uncommitted_bytes = max_memory_bytes // UNCOMMITTED_DIVISOR
        self.history_bytes = max_memory_bytes // HISTORY_DIVISOR
        self.peer_unsent_bytes = max_memory_bytes // PEER_DIVISOR
        self.in_flight_bytes = max_memory_bytes // IN_FLIGHT_DIVISOR
        self.subscribers_unsent_bytes = max_memory_bytes // SUBSCRIBERS_DIVISOR
        self.document_bytes = max(MIN_DOCUMENT_BYTES, max_memory_bytes // DOCUMENT_DIVISOR)
        self.ledger_bytes = max_memory_bytes // LEDGER_DIVISOR
