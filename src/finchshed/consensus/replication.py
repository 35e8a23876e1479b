"""The leader's side of replication: sending, answers, the commit index.

An entry is committed once a quorum has it on its disks and one of the leader's own term is (Raft,
section 5.4.2). Owns the progress of each follower in the leader's state.
"""

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
from finchshed.consensus.progress import Progress, SendMode
from finchshed.consensus.roles import advance_commit, become_follower
from finchshed.consensus.state import LeaderState, NodeState

_RETRANSMIT_HEARTBEATS = 3
"""Entries unanswered for so many heartbeats are sent again. Chosen, not measured."""


def track_members(state: NodeState, leading: LeaderState) -> None:
    """Start and end replication as the membership says."""
    members = {m.identity for m in state.membership.members} - {state.identity}
    for identity in sorted(members - leading.progress.keys()):
        leading.progress[identity] = Progress(state.log.last_index + 1, state.now)
    for identity in leading.progress.keys() - members:
        del leading.progress[identity]


def send_entries(state: NodeState, leading: LeaderState) -> None:
    """Send each follower what its window has room for."""
    for identity, progress in leading.progress.items():
        _send_to(state, identity, progress)
        _announce_commit(state, leading, identity, progress)


def send_heartbeats(state: NodeState, leading: LeaderState) -> None:
    """Tell every follower that the leader is there."""
    leading.heartbeat_due = state.now + state.options.heartbeat_interval_seconds
    for identity, progress in leading.progress.items():
        _send_heartbeat(state, leading, identity, progress)


def on_accepted(
    state: NodeState, leading: LeaderState, sender: NodeIdentity, message: AppendAccepted
) -> None:
    """Note that a follower holds the leader's log up to an index."""
    progress = leading.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    news = progress.advance(message.match_index)
    if progress.mode is SendMode.PROBE or (progress.mode is SendMode.SNAPSHOT and news):
        _leave_probe(state, progress)
    if news:
        update_commit(state, leading)
        _continue_transfer(state, leading, sender, progress)


def on_rejected(
    state: NodeState, leading: LeaderState, sender: NodeIdentity, message: AppendRejected
) -> None:
    """Look for an earlier entry: a follower lacks the one before those that were sent."""
    progress = leading.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    stale = message.previous_index <= progress.match_index
    if stale or progress.mode is SendMode.SNAPSHOT:
        return
    if progress.mode is SendMode.PROBE and message.previous_index != progress.next_index - 1:
        return
    progress.probe_from(min(message.next_index, message.previous_index))


def on_heartbeat_reply(
    state: NodeState, leading: LeaderState, sender: NodeIdentity, message: LeaderHeartbeatReply
) -> None:
    """Note that a follower still takes this node for the leader."""
    progress = leading.progress.get(sender)
    if progress is None:
        return
    progress.last_heard = state.now
    progress.acknowledged_round = max(progress.acknowledged_round, message.round)
    _retransmit_if_stuck(state, progress)


def on_snapshot_reply(
    state: NodeState, leading: LeaderState, sender: NodeIdentity, message: SnapshotPieceReply
) -> None:
    """Go on with the piece of a snapshot that a follower wants next."""
    progress = leading.progress.get(sender)
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


def update_commit(state: NodeState, leading: LeaderState) -> None:
    """Commit what a majority of voters has durable, if it is of the leader's own term.

    Entries of earlier terms are committed only through one of the own term (section 5.4.2 of the
    Raft paper).
    """
    voters = state.counted_voters
    held = sorted((_match_of(state, leading, voter) for voter in voters), reverse=True)
    if len(held) < state.quorum:
        return
    index = held[state.quorum - 1]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        advance_commit(state, index)
        _leave_if_removed(state, leading)


def has_quorum_contact(state: NodeState, leading: LeaderState) -> bool:
    """Whether a majority of voters answered within the shortest election timeout."""
    since = state.now - state.options.election_timeout_min_seconds
    heard = sum(_heard_since(state, leading, voter, since) for voter in state.counted_voters)
    return heard >= state.quorum


def begin_transfer_when_caught_up(
    state: NodeState, leading: LeaderState, target: NodeIdentity
) -> None:
    """Hand over at once if the target holds the whole log."""
    progress = leading.progress.get(target)
    if progress is not None:
        _continue_transfer(state, leading, target, progress)


def best_successor(state: NodeState, leading: LeaderState) -> NodeIdentity | None:
    """Return the voter that was heard lately and holds most of the log."""
    since = state.now - state.options.election_timeout_min_seconds
    candidates = [
        (progress.match_index, identity)
        for identity, progress in leading.progress.items()
        if identity in state.counted_voters and progress.last_heard >= since
    ]
    return max(candidates)[1] if candidates else None


def _send_heartbeat(
    state: NodeState, leading: LeaderState, identity: NodeIdentity, progress: Progress
) -> None:
    progress.announced_commit = min(progress.match_index, state.commit_index)
    state.send(identity, LeaderHeartbeat(state.term, progress.announced_commit, leading.round))


def _announce_commit(
    state: NodeState, leading: LeaderState, identity: NodeIdentity, progress: Progress
) -> None:
    """Tell an idle follower of a new commit index at once; a busy one learns it with entries."""
    known = min(progress.match_index, state.commit_index)
    if known > progress.announced_commit and not progress.in_flight:
        _send_heartbeat(state, leading, identity, progress)


def _match_of(state: NodeState, leading: LeaderState, voter: NodeIdentity) -> int:
    if voter == state.identity:
        return state.persisted_index
    progress = leading.progress.get(voter)
    return progress.match_index if progress else 0


def _heard_since(state: NodeState, leading: LeaderState, voter: NodeIdentity, since: float) -> bool:
    if voter == state.identity:
        return True
    progress = leading.progress.get(voter)
    return progress is not None and progress.last_heard >= since


def _leave_probe(state: NodeState, progress: Progress) -> None:
    if progress.match_index >= state.log.base_index:
        progress.replicate()
    else:
        progress.probe_from(progress.match_index + 1)


def _retransmit_if_stuck(state: NodeState, progress: Progress) -> None:
    """Answers come, but none to what was sent last: it was lost."""
    patience = _RETRANSMIT_HEARTBEATS * state.options.heartbeat_interval_seconds
    if state.now - progress.last_sent < patience:
        return
    if progress.mode is SendMode.PROBE:
        progress.probe_sent = False
    elif progress.mode is SendMode.REPLICATE and progress.in_flight:
        progress.probe_from(progress.match_index + 1)


def _send_to(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    if progress.mode is not SendMode.SNAPSHOT and progress.next_index <= state.log.base_index:
        if state.snapshot is None:
            return
        progress.send_snapshot(state.snapshot)
        progress.last_sent = float("-inf")
    match progress.mode:
        case SendMode.PROBE:
            _send_probe(state, identity, progress)
        case SendMode.REPLICATE:
            _send_window(state, identity, progress)
        case SendMode.SNAPSHOT:
            _send_piece(state, identity, progress)


def _send_probe(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    if progress.probe_sent:
        return
    progress.probe_sent = True
    _send_append(state, identity, progress)


def _send_window(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    window = state.options.max_in_flight_appends
    while progress.next_index <= state.log.last_index and len(progress.in_flight) < window:
        last = _send_append(state, identity, progress)
        progress.in_flight.append(last)
        progress.next_index = last + 1


def _send_append(state: NodeState, identity: NodeIdentity, progress: Progress) -> int:
    options = state.options
    previous = progress.next_index - 1
    entries = state.log.slice(
        progress.next_index, options.max_append_entries, options.max_append_bytes
    )
    previous_term = state.log.term_at(previous) or 0
    message = Append(state.term, previous, previous_term, entries, state.commit_index)
    state.send(identity, message)
    progress.last_sent = state.now
    return previous + len(entries)


def _send_piece(state: NodeState, identity: NodeIdentity, progress: Progress) -> None:
    snapshot = progress.snapshot
    patience = _RETRANSMIT_HEARTBEATS * state.options.heartbeat_interval_seconds
    if snapshot is None or state.now - progress.last_sent < patience:
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
    state: NodeState, leading: LeaderState, sender: NodeIdentity, progress: Progress
) -> None:
    transfer = leading.transfer
    if transfer is None or transfer.target != sender or transfer.sent:
        return
    if progress.match_index == state.log.last_index:
        transfer.sent = True
        state.send(sender, TimeoutNow(state.term))


def _leave_if_removed(state: NodeState, leading: LeaderState) -> None:
    """Hand over and step down, if the leader's own removal is committed."""
    if state.is_voter or state.log.membership_index > state.commit_index:
        return
    successor = best_successor(state, leading)
    if successor is not None:
        state.send(successor, TimeoutNow(state.term))
    become_follower(state, state.term, None)
