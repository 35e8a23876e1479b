"""Options of a node of the replicated log.

Owns no state. The settings of a control node give the values; docs/design/consensus.md has the
figures.
"""

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
CountOrNone = Annotated[int, msgspec.Meta(ge=0)]


class RaftOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Times in seconds, sizes in bytes.

    Attributes
    ----------
    heartbeat_interval_seconds
        Time between heartbeats of a leader.
    election_timeout_min_seconds, election_timeout_max_seconds
        A follower that hears no leader for a random time between these asks for votes. The
        minimum is also the window of check-quorum: a leader that hears no quorum for that long
        steps down, and a voter that heard a leader within it refuses to elect another.
    max_append_entries, max_append_bytes
        Most that one message carries.
    max_in_flight_appends
        Messages with entries sent to one follower and not yet answered.
    snapshot_piece_bytes
        Size of the pieces in which a snapshot is sent.
    snapshot_every_entries, snapshot_every_bytes
        A snapshot is asked for after this many applied entries or bytes of them.
    trailing_entries
        Entries kept in memory before a snapshot, for followers that are a little behind.
    max_unsaved_entries
        Entries that a node whose disk has no room takes into memory only, so that it goes on
        applying what is committed. It acknowledges none of them.
    max_pending_proposals
        Proposals not yet committed; more are refused.
    read_timeout_seconds
        A read that is not confirmed by then fails.
    hello_interval_seconds
        Time between the greetings of a node that is not yet a member.
    promotion_lag_entries
        A learner this close to the leader's log counts as caught up.
    standby_after_seconds
        A voter silent for longer is replaced by a standby that has caught up; infinite: never.
    admits_standbys
        Whether the leader takes in any node that greets it, as a standby.
    tolerated_failures
        Machines whose loss at once, disks included, the group must bear; standbys are promoted
        until twice as many and one vote. 0: the group stays as it was formed.
    size_patience_seconds
        For so long after its start a leader takes no command while the group is smaller than
        that; then it goes on with the machines there are.
    forget_standby_seconds
        A standby silent for longer is taken out where standbys are admitted; it may come again.
    transfer_timeout_seconds
        A leadership transfer that has not succeeded by then is given up.
    """

    heartbeat_interval_seconds: Positive = 0.1
    election_timeout_min_seconds: Positive = 1.0
    election_timeout_max_seconds: Positive = 2.0
    max_append_entries: Count = 512
    max_append_bytes: Count = 256 << 10
    max_in_flight_appends: Count = 32
    snapshot_piece_bytes: Count = 128 << 10
    snapshot_every_entries: Count = 4096
    snapshot_every_bytes: Count = 16 << 20
    trailing_entries: Count = 1024
    max_unsaved_entries: Count = 4096
    max_pending_proposals: Count = 4096
    read_timeout_seconds: Positive = 2.0
    hello_interval_seconds: Positive = 0.5
    promotion_lag_entries: Count = 32
    standby_after_seconds: Positive = 60.0
    admits_standbys: bool = False
    tolerated_failures: CountOrNone = 0
    size_patience_seconds: Positive = 6.0
    forget_standby_seconds: Positive = 60.0
    transfer_timeout_seconds: Positive = 2.0

    @property
    def target_voter_count(self) -> int:
        """Least number of voters of which a majority outlives the tolerated failures."""
        return 2 * self.tolerated_failures + 1

    def __post_init__(self) -> None:
        """Check the options against each other."""
        if self.election_timeout_max_seconds <= self.election_timeout_min_seconds:
            raise ValueError("the longest election timeout must be above the shortest")
        if self.election_timeout_min_seconds < 3 * self.heartbeat_interval_seconds:
            raise ValueError("an election timeout must span at least three heartbeats")
