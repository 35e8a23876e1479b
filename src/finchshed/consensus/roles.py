"""Role changes, election timers and application of committed entries."""

from finchshed.consensus.effects import (
    Apply,
    CommitOutcomeUnknown,
    Committed,
    MembershipChanged,
    RaftRole,
    ReadFailed,
    ReadReady,
    RefusalCause,
    RequestRefused,
    SnapshotRequested,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import decode_membership
from finchshed.consensus.state import NodeState
from finchshed.storage.records import Entry, EntryKind, Vote

FIRST_TIMEOUT_FRACTION = 0.4
"""Minimum election timeout after a start, as a fraction of the regular minimum."""


def reset_election_timer(state: NodeState) -> None:
    """Restart the election timer with a new random timeout."""
    options = state.options
    timeout = state.rng.uniform(
        options.election_timeout_min_seconds, options.election_timeout_max_seconds
    )
    state.election_due = state.now + timeout


def set_first_election_timer(state: NodeState) -> None:
    """Set a shorter election timeout after a start, so that a restarted group recovers sooner.

    An early campaign is harmless: voters that hear from a leader grant no pre-vote.
    """
    usual = state.options.election_timeout_min_seconds
    state.election_due = state.now + state.rng.uniform(FIRST_TIMEOUT_FRACTION * usual, usual)


def become_follower(state: NodeState, term: int, leader: NodeIdentity | None) -> None:
    """Become a follower of ``leader`` (None if unknown) in ``term``, ending any other role."""
    if term > state.term:
        state.set_vote(Vote(term))
    _end_leadership(state)
    state.votes_received.clear()
    state.change_role(RaftRole.FOLLOWER, leader)
    reset_election_timer(state)


def advance_commit(state: NodeState, index: int) -> None:
    """Commit and apply entries up to ``index``."""
    while state.commit_index < index:
        state.commit_index += 1
        _apply(state, state.log.entry(state.commit_index))
    _finish_forwarded_reads(state)
    if _is_snapshot_due(state):
        state.snapshot_due = True


def request_due_snapshot(state: NodeState) -> None:
    """Request an application snapshot if one is due; called last in a step."""
    if state.snapshot_due:
        state.snapshot_due = False
        state.effects.append(SnapshotRequested(state.commit_index))


def _apply(state: NodeState, entry: Entry) -> None:
    state.applied_since_snapshot += 1
    state.applied_bytes_since_snapshot += len(entry.data)
    if entry.kind is EntryKind.COMMAND:
        state.effects.append(Apply(entry.index, entry.term, entry.data))
    elif entry.kind is EntryKind.MEMBERSHIP:
        state.effects.append(MembershipChanged(entry.index, decode_membership(entry.data)))
    if state.leader_state is not None:
        token = state.leader_state.proposals.pop(entry.index, None)
        if token is not None:
            state.effects.append(Committed(token, entry.index))


def _is_snapshot_due(state: NodeState) -> bool:
    options = state.options
    return (
        state.applied_since_snapshot >= options.snapshot_every_entries
        or state.applied_bytes_since_snapshot >= options.snapshot_every_bytes
    )


def _finish_forwarded_reads(state: NodeState) -> None:
    ready = [
        request
        for request, read in state.forwarded_reads.items()
        if read.index is not None and read.index <= state.commit_index
    ]
    for request in ready:
        read = state.forwarded_reads.pop(request)
        state.effects.append(ReadReady(read.token, state.commit_index))


def _end_leadership(state: NodeState) -> None:
    leader_state = state.leader_state
    if leader_state is None:
        return
    state.leader_state = None
    for token in leader_state.proposals.values():
        state.effects.append(CommitOutcomeUnknown(token))
    for read in leader_state.reads:
        if read.requester is None:
            state.effects.append(ReadFailed(read.token))
    if leader_state.pending_change is not None:
        cause = RefusalCause.NOT_LEADER
        state.effects.append(RequestRefused(leader_state.pending_change.token, cause))
