"""Leader side of replication: sending entries, handling replies and advancing the commit index."""

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import (
    Append,
    AppendAccepted,
    AppendRejected,
    LeaderHeartbeat,
    LeaderHeartbeatReply,
    SnapshotPiece,
    SnapshotPieceReply,
    TimeoutNow,
)
from finchshed.consensus.progress import InFlightAppend, Progress, SendMode
from finchshed.consensus.roles import advance_commit, become_follower
from finchshed.consensus.state import LeaderState, NodeState

_RETRANSMIT_HEARTBEATS = 3
"""Heartbeat intervals after which unacknowledged entries are sent again."""


def track_members(state: NodeState, leader_state: LeaderState) -> None:
    """Start replication to new members and stop it for removed ones."""
    members = {m.identity for m in state.membership.members} - {state.identity}
    for identity in sorted(members - leader_state.progress.keys()):
        leader_state.progress[identity] = Progress(state.log.last_index + 1, state.now)
    for identity in leader_state.progress.keys() - members:
        del leader_state.progress[identity]


def send_entries(state: NodeState, leader_state: LeaderState) -> None:
    """Send pending entries and commit indexes to each follower, within its window."""
    for identity, progress in leader_state.progress.items():
        _send_to(state, identity, progress)
        _announce_commit(state, leader_state, identity, progress)


def send_heartbeats(state: NodeState, leader_state: LeaderState) -> None:
    """Send a heartbeat to every follower."""
    leader_state.heartbeat_due = state.now + state.options.heartbeat_interval_seconds
    for identity, progress in leader_state.progress.items():
        _send_heartbeat(state, leader_state, identity, progress)


def on_accepted(
    state: NodeState, leader_state: LeaderState, sender: NodeIdentity, message: AppendAccepted
) -> None:
    """Advance a follower's match index."""
    progress = leader_state.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    advanced = progress.advance(message.match_index)
    if progress.mode is SendMode.PROBE or (progress.mode is SendMode.SNAPSHOT and advanced):
        _leave_probe_mode(state, progress)
    if advanced:
        update_commit_index(state, leader_state)
        _continue_transfer(state, leader_state, sender, progress)


def on_rejected(
    state: NodeState, leader_state: LeaderState, sender: NodeIdentity, message: AppendRejected
) -> None:
    """Probe from an earlier entry, because the follower lacks the preceding one."""
    progress = leader_state.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    stale = message.previous_index <= progress.match_index
    if stale or progress.mode is SendMode.SNAPSHOT:
        return
    if progress.mode is SendMode.PROBE and message.previous_index != progress.next_index - 1:
        return
    progress.start_probing(min(message.next_index, message.previous_index))


def on_heartbeat_reply(
    state: NodeState, leader_state: LeaderState, sender: NodeIdentity, message: LeaderHeartbeatReply
) -> None:
    """Record that a follower still accepts this leader; retransmit lost entries."""
    progress = leader_state.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    progress.acknowledged_round = max(progress.acknowledged_round, message.round)
    _retransmit_if_lost(state, progress)


def on_snapshot_reply(
    state: NodeState, leader_state: LeaderState, sender: NodeIdentity, message: SnapshotPieceReply
) -> None:
    """Continue a snapshot transfer at the offset that the follower requests."""
    progress = leader_state.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    snapshot = progress.snapshot
    if snapshot is None or snapshot.index != message.snapshot_index:
        return
    if message.next_offset == progress.snapshot_offset:
        return
    progress.snapshot_offset = message.next_offset
    progress.last_sent = float("-inf")


def update_commit_index(state: NodeState, leader_state: LeaderState) -> None:
    """Commit the highest index that is durable on a quorum, if it is of the current term.

    Entries of earlier terms are committed only through an entry of the current term (Raft, section
    5.4.2).
    """
    voters = state.counted_voters
    match_indexes = sorted(
        (_match_index_of(state, leader_state, voter) for voter in voters), reverse=True
    )
    if len(match_indexes) < state.quorum:
        return
    index = match_indexes[state.quorum - 1]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        advance_commit(state, index)
        _step_down_if_removed(state, leader_state)


def has_quorum_contact(state: NodeState, leader_state: LeaderState) -> bool:
    """Whether a quorum responded within the minimum election timeout."""
    since = state.now - state.options.election_timeout_min_seconds
    heard = sum(
        _responded_since(state, leader_state, voter, since) for voter in state.counted_voters
    )
    return heard >= state.quorum


def start_transfer_if_caught_up(
    state: NodeState, leader_state: LeaderState, target: NodeIdentity
) -> None:
    """Transfer leadership at once if the target holds the whole log."""
    progress = leader_state.progress.get(target)
    if progress is not None:
        _continue_transfer(state, leader_state, target, progress)


def best_successor(state: NodeState, leader_state: LeaderState) -> NodeIdentity | None:
    """Return the most caught-up voter that responded recently, or None."""
    since = state.now - state.options.election_timeout_min_seconds
    candidates = [
        (progress.match_index, identity)
        for identity, progress in leader_state.progress.items()
        if identity in state.counted_voters and progress.last_heard >= since
    ]
    return max(candidates)[1] if candidates else None


def _send_heartbeat(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity, progress: Progress
) -> None:
    progress.announced_commit = min(progress.match_index, state.commit_index)
    state.send(identity, LeaderHeartbeat(state.term, progress.announced_commit, leader_state.round))


def _announce_commit(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity, progress: Progress
) -> None:
    """Send a new commit index to an idle follower; a busy one receives it with entries."""
    known = min(progress.match_index, state.commit_index)
    if known > progress.announced_commit and not progress.in_flight:
        _send_heartbeat(state, leader_state, identity, progress)


def _match_index_of(state: NodeState, leader_state: LeaderState, voter: NodeIdentity) -> int:
    if voter == state.identity:
        return state.persisted_index
    progress = leader_state.progress.get(voter)
    return progress.match_index if progress else 0


def _responded_since(
    state: NodeState, leader_state: LeaderState, voter: NodeIdentity, since: float
) -> bool:
    if voter == state.identity:
        return True
    progress = leader_state.progress.get(voter)
    return progress is not None and progress.last_heard >= since


def _leave_probe_mode(state: NodeState, progress: Progress) -> None:
    if progress.match_index >= state.log.base_index:
        progress.start_pipelining()
    else:
        progress.start_probing(progress.match_index + 1)


def _retransmit_if_lost(state: NodeState, progress: Progress) -> None:
    """Resend entries that a responsive follower has not acknowledged for several heartbeats."""
    retransmit_after = _RETRANSMIT_HEARTBEATS * state.options.heartbeat_interval_seconds
    if state.now - progress.last_sent < retransmit_after:
        return
    if progress.mode is SendMode.PROBE:
        progress.probe_sent = False
    elif progress.mode is SendMode.REPLICATE and progress.in_flight:
        progress.start_probing(progress.match_index + 1)


def _send_to(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    if progress.mode is not SendMode.SNAPSHOT and progress.next_index <= state.log.base_index:
        if state.snapshot is None:
            return
        progress.start_snapshot(state.snapshot)
        progress.last_sent = float("-inf")
    match progress.mode:
        case SendMode.PROBE:
            _send_probe(state, identity, progress)
        case SendMode.REPLICATE:
            _send_window(state, identity, progress)
        case SendMode.SNAPSHOT:
            _send_snapshot_piece(state, identity, progress)


def _send_probe(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    if progress.probe_sent:
        return
    progress.probe_sent = True
    _send_append(state, identity, progress)


def _send_window(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    while progress.next_index <= state.log.last_index and _has_window(state, progress):
        sent = _send_append(state, identity, progress)
        progress.in_flight.append(sent)
        progress.next_index = sent.last_index + 1


def _has_window(state: NodeState, progress: Progress) -> bool:
    options = state.options
    if not progress.in_flight:
        return True
    return (
        len(progress.in_flight) < options.max_in_flight_appends
        and progress.in_flight_bytes < options.max_in_flight_bytes
    )


def _send_append(state: NodeState, identity: NodeIdentity, progress: Progress) -> InFlightAppend:
    options = state.options
    previous = progress.next_index - 1
    entries = state.log.slice(
        progress.next_index, options.max_append_entries, options.max_append_bytes
    )
    previous_term = state.log.term_at(previous) or 0
    message = Append(state.term, previous, previous_term, entries, state.commit_index)
    state.send(identity, message)
    progress.last_sent = state.now
    return InFlightAppend(previous + len(entries), sum(len(entry.data) for entry in entries))


def _send_snapshot_piece(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    snapshot = progress.snapshot
    retransmit_after = _RETRANSMIT_HEARTBEATS * state.options.heartbeat_interval_seconds
    if snapshot is None or state.now - progress.last_sent < retransmit_after:
        return
    if progress.last_heard < progress.last_sent:
        return
    offset = progress.snapshot_offset
    data = snapshot.data[offset : offset + state.options.snapshot_piece_bytes]
    progress.last_sent = state.now
    state.send(
        identity,
        SnapshotPiece(
            term=state.term,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=snapshot.membership,
            total_bytes=len(snapshot.data),
            offset=offset,
            data=data,
        ),
    )


def _continue_transfer(
    state: NodeState, leader_state: LeaderState, sender: NodeIdentity, progress: Progress
) -> None:
    transfer = leader_state.transfer
    if transfer is None or transfer.target != sender or transfer.sent:
        return
    if progress.match_index == state.log.last_index:
        transfer.sent = True
        state.send(sender, TimeoutNow(state.term))


def _step_down_if_removed(state: NodeState, leader_state: LeaderState) -> None:
    """Transfer leadership and step down once the leader's own removal is committed."""
    if state.is_voter or state.log.membership_index > state.commit_index:
        return
    successor = best_successor(state, leader_state)
    if successor is not None:
        state.send(successor, TimeoutNow(state.term))
    become_follower(state, state.term, None)
