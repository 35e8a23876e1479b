"""Handlers of host events: proposals, leadership transfer, snapshots and a full disk."""

from finchshed.consensus import replication, roles
from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.events import Propose, SnapshotTaken
from finchshed.consensus.group_size import is_growth_pending
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import encode_membership
from finchshed.consensus.membership_changes import refuse
from finchshed.consensus.messages import TimeoutNow
from finchshed.consensus.state import NodeState, Transfer
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
    elif len(leader_state.proposals) >= state.options.max_pending_proposals:
        refuse(state, event.token, RefusalCause.BUSY)
    else:
        index = state.log.last_index + 1
        state.append(Entry(index, state.term, data=event.data))
        leader_state.proposals[index] = event.token


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
    state.log.compact(event.index - state.options.trailing_entries)


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
