"""Metrics of the replicated log."""

from finchshed.consensus.effects import RaftRole
from finchshed.consensus.node import RaftNode
from finchshed.observability.instruments import Counter, Gauge, Histogram

APPLIED_ENTRIES = Counter("finchshed_control_entries_applied", "Commands of the log applied here")
ROLE_CHANGES = Counter(
    "finchshed_control_role_changes", "Changes of role or known leader", ["role"]
)
WRITE_SECONDS = Histogram(
    "finchshed_control_write_seconds",
    "Time of one write and sync of the journal",
    buckets=(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2.0),
)
SNAPSHOT_SECONDS = Histogram(
    "finchshed_control_snapshot_seconds",
    "Time the loop was held by encoding a snapshot",
    buckets=(0.001, 0.005, 0.02, 0.1, 0.5, 2.0),
)
TERM = Gauge("finchshed_control_term", "Term of the replicated log")
IS_LEADER = Gauge("finchshed_control_is_leader", "1 where this node leads")
HAS_LEADER = Gauge("finchshed_control_has_leader", "1 where a leader is known")
COMMIT_INDEX = Gauge("finchshed_control_commit_index", "Last entry known to be committed")
LEADER_CHECK_AGE_SECONDS = Gauge(
    "finchshed_control_leader_check_age_seconds",
    "Time since the leader last checked its quorum and members; 0 elsewhere",
)
DISK_FULL = Gauge("finchshed_control_disk_full", "1 while writes wait for room")
JOURNAL_BYTES = Gauge("finchshed_control_journal_bytes", "Size of the journal file")
LOG_BYTES = Gauge("finchshed_control_log_bytes", "Log entries in memory")
SNAPSHOT_BYTES = Gauge("finchshed_control_snapshot_bytes", "Latest snapshot, in memory")


def update_gauges(node: RaftNode, journal_bytes: int) -> None:
    """Update the gauges from the node's state."""
    TERM.set(node.term)
    IS_LEADER.set(node.role is RaftRole.LEADER)
    HAS_LEADER.set(node.leader is not None)
    COMMIT_INDEX.set(node.commit_index)
    LEADER_CHECK_AGE_SECONDS.set(node.leader_check_age_seconds)
    DISK_FULL.set(node.disk_full)
    JOURNAL_BYTES.set(journal_bytes)
    LOG_BYTES.set(node.log.size_bytes)
    SNAPSHOT_BYTES.set(node.snapshot_bytes)
