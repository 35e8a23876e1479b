"""Follower side of replication: append requests, heartbeats and chunked snapshots.

Entries are accepted only if the preceding entry matches, and acknowledged once they are durable.
"""

from finchshed.common.errors import InvariantError
from finchshed.consensus.effects import MembershipChanged, RaftRole, RestoreSnapshot
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import (
    Append,
    AppendAccepted,
    AppendRejected,
    LeaderHeartbeat,
    LeaderHeartbeatReply,
    SnapshotPiece,
    SnapshotPieceReply,
)
from finchshed.consensus.roles import advance_commit, become_follower, reset_election_timer
from finchshed.consensus.state import IncomingSnapshot, NodeState
from finchshed.storage.records import Entry, Snapshot


def accept_leader(state: NodeState, sender: NodeIdentity, term: int) -> bool:
    """Follow ``sender`` as the leader of ``term``; return False if the term is stale."""
    if term < state.term:
        return False
    if term > state.term or state.role is not RaftRole.FOLLOWER or state.leader != sender:
        become_follower(state, term, sender)
    state.leader_last_heard = state.now
    reset_election_timer(state)
    return True


def on_append(state: NodeState, sender: NodeIdentity, message: Append) -> None:
    """Append entries from the leader, or reject them if the preceding entry does not match."""
    if not accept_leader(state, sender, message.term):
        _reject(state, sender, message, state.log.last_index + 1)
        return
    if _is_too_much_unsaved(state):
        return
    previous = message.previous_index
    if previous < state.log.base_index:
        # Compacted entries are committed, so they match the leader's log.
        message = _skip_compacted_entries(state, message)
        previous = message.previous_index
    if state.log.term_at(previous) != message.previous_term:
        _reject(state, sender, message, _conflict_next_index(state, previous))
        return
    for entry in message.entries:
        _append_or_replace(state, entry)
    match_index = previous + len(message.entries)
    state.send_when_durable(sender, AppendAccepted(state.term, match_index))
    advance_commit(state, max(state.commit_index, min(message.commit, match_index)))


def on_heartbeat(state: NodeState, sender: NodeIdentity, message: LeaderHeartbeat) -> None:
    """Acknowledge the leader and advance the commit index."""
    if not accept_leader(state, sender, message.term):
        state.send_when_term_durable(sender, LeaderHeartbeatReply(state.term, message.round))
        return
    if message.commit > state.log.last_index:
        raise InvariantError(
            f"leader commit index {message.commit} exceeds last log index {state.log.last_index}"
        )
    state.send_when_term_durable(sender, LeaderHeartbeatReply(state.term, message.round))
    advance_commit(state, max(state.commit_index, message.commit))


def on_snapshot_piece(state: NodeState, sender: NodeIdentity, message: SnapshotPiece) -> None:
    """Collect a chunked snapshot and install it once complete."""
    if not accept_leader(state, sender, message.term):
        rejected = AppendRejected(state.term, message.snapshot_index, state.log.last_index + 1)
        state.send_when_durable(sender, rejected)
        return
    if message.snapshot_index <= state.commit_index:
        state.incoming_snapshot = None
        state.send_when_durable(sender, AppendAccepted(state.term, state.commit_index))
        return
    incoming = _incoming_snapshot_for(state, message)
    if message.offset == len(incoming.buffer):
        incoming.buffer += message.data
    if len(incoming.buffer) < message.total_bytes:
        reply = SnapshotPieceReply(state.term, message.snapshot_index, len(incoming.buffer))
        state.send(sender, reply)
        return
    state.incoming_snapshot = None
    data = bytes(incoming.buffer)
    snapshot = Snapshot(message.snapshot_index, message.snapshot_term, message.membership, data)
    _install_snapshot(state, snapshot)
    state.send_when_durable(sender, AppendAccepted(state.term, snapshot.index))


def _is_too_much_unsaved(state: NodeState) -> bool:
    """Whether the disk must catch up before more entries are taken."""
    options = state.options
    if state.disk_full and state.unsaved_entries >= options.max_unsaved_entries:
        return True
    return state.log.bytes_after(state.persisted_index) > options.max_unsaved_bytes


def _incoming_snapshot_for(state: NodeState, message: SnapshotPiece) -> IncomingSnapshot:
    incoming = state.incoming_snapshot
    same = (
        incoming is not None
        and incoming.index == message.snapshot_index
        and incoming.term == message.snapshot_term
    )
    if incoming is None or not same:
        incoming = IncomingSnapshot(message.snapshot_index, message.snapshot_term)
        state.incoming_snapshot = incoming
    return incoming


def _install_snapshot(state: NodeState, snapshot: Snapshot) -> None:
    kept: tuple[Entry, ...] = ()
    if state.log.term_at(snapshot.index) == snapshot.term:
        kept = state.log.entries_after(snapshot.index)
    state.log.reset(snapshot)
    for entry in kept:
        state.log.append(entry)
    state.commit_index = snapshot.index
    state.writes.limit_persisted(state.log.last_index)
    state.replace_stored(snapshot, kept)
    state.effects.append(RestoreSnapshot(snapshot.index, snapshot.data))
    membership = state.log.membership_at(snapshot.index)
    state.effects.append(MembershipChanged(snapshot.index, membership))
    advance_commit(state, snapshot.index)


def _append_or_replace(state: NodeState, entry: Entry) -> None:
    """Append an entry, truncating first if the log holds an entry of another term there."""
    held_term = state.log.term_at(entry.index)
    if held_term == entry.term:
        return
    if held_term is not None:
        state.truncate_from(entry.index)
    state.append(entry)


def _skip_compacted_entries(state: NodeState, message: Append) -> Append:
    base = state.log.base_index
    entries = tuple(entry for entry in message.entries if entry.index > base)
    base_term = state.log.term_at(base) or 0
    return Append(message.term, base, base_term, entries, message.commit)


def _conflict_next_index(state: NodeState, previous: int) -> int:
    """Return the next index for the leader to try, skipping the whole conflicting term."""
    if previous > state.log.last_index:
        return state.log.last_index + 1
    index = previous
    term = state.log.term_at(previous)
    while index > state.commit_index + 1 and state.log.term_at(index - 1) == term:
        index -= 1
    return index


def _reject(state: NodeState, sender: NodeIdentity, message: Append, next_index: int) -> None:
    rejected = AppendRejected(state.term, message.previous_index, next_index)
    state.send_when_durable(sender, rejected)
