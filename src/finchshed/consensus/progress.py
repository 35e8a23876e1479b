"""What a leader knows about one follower.

Owns the state of replication to that follower, for one term of the leader.
"""

import enum
from collections import deque

from finchshed.storage.records import Snapshot


class SendMode(enum.Enum):
    """How entries are sent to a follower."""

    PROBE = "probe"
    """One message at a time, until the point where the logs agree is found."""

    REPLICATE = "replicate"
    """Pipelined, within a window."""

    SNAPSHOT = "snapshot"
    """The follower needs entries that are no longer held."""


class Progress:
    """State of replication to one follower. Times are in seconds of the node's clock.

    Attributes
    ----------
    match_index
        Highest entry known to be durable there and equal to the leader's.
    next_index
        Next entry to send.
    last_heard
        When the last answer of this term came.
    acknowledged_round
        Highest heartbeat round answered.
    """

    def __init__(self, next_index: int, now: float) -> None:
        self.mode = SendMode.PROBE
        self.match_index = 0
        self.next_index = next_index
        self.last_heard = now
        self.acknowledged_round = 0
        self.announced_commit = 0
        self.in_flight: deque[int] = deque()
        self.last_sent = float("-inf")
        self.probe_sent = False
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0

    def advance(self, match_index: int) -> bool:
        """Note that entries up to ``match_index`` are durable there; whether that is news."""
        while self.in_flight and self.in_flight[0] <= match_index:
            self.in_flight.popleft()
        if match_index <= self.match_index:
            return False
        self.match_index = match_index
        self.next_index = max(self.next_index, match_index + 1)
        return True

    def probe_from(self, next_index: int) -> None:
        """Look for the point where the logs agree, from ``next_index`` downwards."""
        self.mode = SendMode.PROBE
        self.next_index = max(next_index, self.match_index + 1)
        self.in_flight.clear()
        self.probe_sent = False
        self.snapshot = None

    def replicate(self) -> None:
        """Send without waiting for each answer."""
        self.mode = SendMode.REPLICATE
        self.next_index = self.match_index + 1
        self.in_flight.clear()
        self.snapshot = None

    def send_snapshot(self, snapshot: Snapshot) -> None:
        """Start to send a snapshot."""
        self.mode = SendMode.SNAPSHOT
        self.in_flight.clear()
        self.snapshot = snapshot
        self.snapshot_offset = 0
