"""Changes of role, and applying what is committed.

Owns role, term and commit index in the node's state; each change of role goes through here.
"""

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

FIRST_TIMEOUT_SHARE = 0.4
"""Shortest wait after a start, as a share of the shortest election timeout."""


def reset_election_timer(state: NodeState) -> None:
    """Wait for a new random time before asking for votes."""
    options = state.options
    timeout = state.rng.uniform(
        options.election_timeout_min_seconds, options.election_timeout_max_seconds
    )
    state.election_due = state.now + timeout


def set_first_election_timer(state: NodeState) -> None:
    """Wait less for the first time after a start: where there is a leader it is heard soon.

    A group that was off as a whole is led again earlier by it. A node that asks too early disturbs
    nobody: voters that hear a leader give no pre-vote.
    """
    usual = state.options.election_timeout_min_seconds
    state.election_due = state.now + state.rng.uniform(FIRST_TIMEOUT_SHARE * usual, usual)


def become_follower(state: NodeState, term: int, leader: NodeIdentity | None) -> None:
    """Follow ``leader``, or nobody, in ``term``; whatever else the node was ends."""
    if term > state.term:
        state.set_vote(Vote(term))
    _end_leadership(state)
    state.ballots.clear()
    state.change_role(RaftRole.FOLLOWER, leader)
    reset_election_timer(state)


def advance_commit(state: NodeState, index: int) -> None:
    """Apply entries up to ``index``, which are known to be committed."""
    while state.commit_index < index:
        state.commit_index += 1
        _apply(state, state.log.entry(state.commit_index))
    _finish_forwarded_reads(state)
    if _snapshot_is_due(state):
        state.snapshot_wanted = True


def report_wanted_snapshot(state: NodeState) -> None:
    """Ask the application for a snapshot, after all else in this step."""
    if state.snapshot_wanted:
        state.snapshot_wanted = False
        state.effects.append(SnapshotRequested(state.commit_index))


def _apply(state: NodeState, entry: Entry) -> None:
    state.applied_since_snapshot += 1
    state.applied_bytes_since_snapshot += len(entry.data)
    if entry.kind is EntryKind.COMMAND:
        state.effects.append(Apply(entry.index, entry.term, entry.data))
    elif entry.kind is EntryKind.MEMBERSHIP:
        state.effects.append(MembershipChanged(entry.index, decode_membership(entry.data)))
    if state.leading is not None:
        token = state.leading.proposals.pop(entry.index, None)
        if token is not None:
            state.effects.append(Committed(token, entry.index))


def _snapshot_is_due(state: NodeState) -> bool:
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
    leading = state.leading
    if leading is None:
        return
    state.leading = None
    for token in leading.proposals.values():
        state.effects.append(CommitOutcomeUnknown(token))
    for read in leading.reads:
        if read.requester is None:
            state.effects.append(ReadFailed(read.token))
    if leading.pending_change is not None:
        cause = RefusalCause.NOT_LEADER
        state.effects.append(RequestRefused(leading.pending_change.token, cause))
