"""Handlers of host events: proposals, leadership transfer, snapshots and a full disk."""

from finchshed.consensus import replication, roles
from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.events import Propose, SnapshotTaken
from finchshed.consensus.group_size import is_growth_pending
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import encode_membership
from finchshed.consensus.membership_changes import refuse
from finchshed.consensus.messages import TimeoutNow
from finchshed.consensus.state import LeaderState, NodeState, Transfer
from finchshed.storage.records import Entry, Snapshot


def propose(state: NodeState, event: Propose) -> None:
    """Append a command, or refuse it with the cause."""
    leader_state = state.leader_state
    if leader_state is None:
        cause = RefusalCause.DISK_FULL if state.disk_full else RefusalCause.NOT_LEADER
        refuse(state, event.token, cause)
    elif leader_state.transfer is not None:
        refuse(state, event.token, RefusalCause.TRANSFERRING)
    elif is_growth_pending(state):
        refuse(state, event.token, RefusalCause.NOT_READY)
    elif _is_too_much_pending(state, leader_state, len(event.data)):
        refuse(state, event.token, RefusalCause.BUSY)
    else:
        index = state.log.last_index + 1
        state.append(Entry(index, state.term, data=event.data))
        leader_state.proposals[index] = event.token


def _is_too_much_pending(state: NodeState, leader_state: LeaderState, size: int) -> bool:
    """Whether a command of ``size`` bytes must wait for others; a single one never does."""
    proposals = leader_state.proposals
    if not proposals:
        return False
    pending_bytes = state.log.bytes_after(state.commit_index)
    return (
        len(proposals) >= state.options.max_pending_proposals
        or pending_bytes + size > state.options.max_pending_bytes
    )


def transfer_leadership(state: NodeState, target: NodeIdentity | None) -> None:
    """Transfer leadership to a voter once it has caught up; proposals are refused until then."""
    leader_state = state.leader_state
    if leader_state is None:
        return
    target = target or replication.best_successor(state, leader_state)
    if target is None or target not in state.counted_voters or target == state.identity:
        return
    deadline = state.now + state.options.transfer_timeout_seconds
    leader_state.transfer = Transfer(target, deadline)
    replication.start_transfer_if_caught_up(state, leader_state, target)


def store_snapshot(state: NodeState, event: SnapshotTaken) -> None:
    """Store an application snapshot and compact the entries it covers."""
    held = state.snapshot.index if state.snapshot is not None else 0
    term = state.log.term_at(event.index)
    if event.index <= held or event.index > state.commit_index or term is None:
        return
    membership = encode_membership(state.log.membership_at(event.index))
    snapshot = Snapshot(event.index, term, membership, event.data)
    state.replace_stored(snapshot, state.log.entries_after(event.index))
    options = state.options
    start = state.log.trailing_start(event.index, options.trailing_entries, options.trailing_bytes)
    state.log.compact(start)


def on_disk_full(state: NodeState) -> None:
    """Step down and transfer leadership, since a leader that cannot write blocks the group."""
    state.disk_full = True
    leader_state = state.leader_state
    if leader_state is None:
        return
    successor = replication.best_successor(state, leader_state)
    if successor is not None:
        state.send(successor, TimeoutNow(state.term))
    roles.become_follower(state, state.term, None)
