"""Options of a node of the replicated log.

Derived from the settings of a control node; docs/design/consensus.md explains the defaults.
"""

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
CountOrNone = Annotated[int, msgspec.Meta(ge=0)]


class RaftOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts in seconds, sizes in bytes.

    Attributes
    ----------
    heartbeat_interval_seconds
        Interval between heartbeats of the leader.
    election_timeout_min_seconds, election_timeout_max_seconds
        Range of the random election timeout. The minimum is also the check-quorum window: a leader
        that hears from no quorum within it steps down, and a voter that heard from a leader within
        it grants no vote to another node.
    max_append_entries, max_append_bytes
        Limits of one append message.
    max_in_flight_appends, max_in_flight_bytes
        Maximum number of unacknowledged append messages per follower, and of bytes of entries in
        them; one message may always be sent.
    snapshot_piece_bytes
        Chunk size of snapshot transfers.
    snapshot_every_entries, snapshot_every_bytes
        A snapshot is requested after this many applied entries, or bytes of them.
    trailing_entries, trailing_bytes
        Entries kept in memory before a snapshot, and bytes of them, for followers that lag
        slightly. With ``trailing_bytes`` of ``snapshot_every_bytes`` or more, a follower that has
        installed a snapshot finds the entries after it until the next but one.
    max_unsaved_entries, max_unsaved_bytes
        Entries, and bytes of them, that a node with a full or slow disk keeps in memory without
        acknowledging them, so that it can continue to apply committed entries.
    max_pending_proposals, max_pending_bytes
        Maximum number of uncommitted proposals, and of bytes in them; further ones are refused.
    read_timeout_seconds
        Time after which an unconfirmed read fails.
    announcement_interval_seconds
        Interval between announcements of a node that is not a member.
    promotion_lag_entries
        Maximum lag behind the leader's log at which a learner counts as caught up.
    standby_after_seconds
        Silence after which a voter is replaced by a caught-up standby; infinite disables it.
    admits_standbys
        Whether the leader adds any node that announces itself as a standby.
    tolerated_failures
        Simultaneous machine losses, disks included, that the group must survive. Standbys are
        promoted until there are ``2 * tolerated_failures + 1`` voters; 0 disables growth.
    growth_timeout_seconds
        Time after its start during which a leader refuses commands while the group is undersized.
    standby_removal_seconds
        Silence after which a standby is removed if ``admits_standbys``; it may rejoin.
    transfer_timeout_seconds
        Time after which an unfinished leadership transfer is aborted.
    """

    heartbeat_interval_seconds: Positive = 0.1
    election_timeout_min_seconds: Positive = 1.0
    election_timeout_max_seconds: Positive = 2.0
    max_append_entries: Count = 512
    max_append_bytes: Count = 256 << 10
    max_in_flight_appends: Count = 32
    max_in_flight_bytes: Count = 8 << 20
    snapshot_piece_bytes: Count = 128 << 10
    snapshot_every_entries: Count = 4096
    snapshot_every_bytes: Count = 16 << 20
    trailing_entries: Count = 1024
    trailing_bytes: Count = 16 << 20
    max_unsaved_entries: Count = 4096
    max_unsaved_bytes: Count = 32 << 20
    max_pending_proposals: Count = 4096
    max_pending_bytes: Count = 32 << 20
    read_timeout_seconds: Positive = 2.0
    announcement_interval_seconds: Positive = 0.5
    promotion_lag_entries: Count = 32
    standby_after_seconds: Positive = 60.0
    admits_standbys: bool = False
    tolerated_failures: CountOrNone = 0
    growth_timeout_seconds: Positive = 6.0
    standby_removal_seconds: Positive = 60.0
    transfer_timeout_seconds: Positive = 2.0

    @property
    def target_voter_count(self) -> int:
        """Minimum number of voters whose majority survives ``tolerated_failures``."""
        return 2 * self.tolerated_failures + 1

    def __post_init__(self) -> None:
        """Validate the election timeouts."""
        if self.election_timeout_max_seconds <= self.election_timeout_min_seconds:
            raise ValueError(
                f"election_timeout_max_seconds = {self.election_timeout_max_seconds}: must be "
                f"greater than election_timeout_min_seconds = {self.election_timeout_min_seconds}"
            )
        if self.election_timeout_min_seconds < 3 * self.heartbeat_interval_seconds:
            raise ValueError(
                f"election_timeout_min_seconds = {self.election_timeout_min_seconds}: must be "
                f"at least 3 * heartbeat_interval_seconds = {self.heartbeat_interval_seconds}"
            )
