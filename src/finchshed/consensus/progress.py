"""Replication progress of one follower, tracked by the leader during one term."""

import enum
from collections import deque

import msgspec

from finchshed.storage.records import Snapshot


class SendMode(enum.Enum):
    """How the leader sends entries to a follower."""

    PROBE = "probe"
    """One message at a time, until a matching entry is found."""

    REPLICATE = "replicate"
    """Pipelined within a window of unacknowledged messages."""

    SNAPSHOT = "snapshot"
    """The follower needs entries that were compacted."""


class InFlightAppend(msgspec.Struct, frozen=True):
    """An unacknowledged append message: its last index, and the bytes of its entries."""

    last_index: int
    size: int


class Progress:
    """State of replication to one follower. Times are in seconds of the node's clock.

    Attributes
    ----------
    match_index
        Highest index known to match the leader's log and to be durable on the follower.
    next_index
        Index of the next entry to send.
    last_heard
        Time of the last reply in this term.
    acknowledged_round
        Highest heartbeat round acknowledged.
    """

    def __init__(self, next_index: int, now: float) -> None:
        self.mode = SendMode.PROBE
        self.match_index = 0
        self.next_index = next_index
        self.last_heard = now
        self.acknowledged_round = 0
        self.announced_commit = 0
        self.in_flight: deque[InFlightAppend] = deque()
        self.last_sent = float("-inf")
        self.probe_sent = False
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0

    def advance(self, match_index: int) -> bool:
        """Record that entries up to ``match_index`` are durable; return whether it increased."""
        while self.in_flight and self.in_flight[0].last_index <= match_index:
            self.in_flight.popleft()
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        self.next_index = max(self.next_index, match_index + 1)
        return True

    @property
    def in_flight_bytes(self) -> int:
        """Bytes of entries in unacknowledged append messages."""
        return sum(append.size for append in self.in_flight)

    def start_probing(self, next_index: int) -> None:
        """Search for a matching entry from ``next_index`` downwards."""
        self.mode = SendMode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.in_flight.clear()
        self.probe_sent = False
        self.snapshot = None

    def start_pipelining(self) -> None:
        """Switch to pipelined sending from the entry after ``match_index``."""
        self.mode = SendMode.REPLICATE
        self.next_index = self.match_index + 1
        self.in_flight.clear()
        self.snapshot = None

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Switch to sending ``snapshot`` from its start."""
        self.mode = SendMode.SNAPSHOT
        self.in_flight.clear()
        self.snapshot = snapshot
        self.snapshot_offset = 0
