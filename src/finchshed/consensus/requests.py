"""Requests of the host: proposals, transfer of leadership, snapshots, a full disk.

Owns what waits for its outcome in the leader's state.
"""

from finchshed.consensus import replication, roles
from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.events import Propose, SnapshotTaken
from finchshed.consensus.group_size import waits_for_growth
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import encode_membership
from finchshed.consensus.membership_changes import refuse
from finchshed.consensus.messages import TimeoutNow
from finchshed.consensus.state import NodeState, Transfer
from finchshed.storage.records import Entry, Snapshot


def propose(state: NodeState, event: Propose) -> None:
    """Append a command, or refuse it with the cause."""
    leading = state.leading
    if leading is None:
        cause = RefusalCause.DISK_FULL if state.disk_full else RefusalCause.NOT_LEADER
        refuse(state, event.token, cause)
    elif leading.transfer is not None:
        refuse(state, event.token, RefusalCause.TRANSFERRING)
    elif waits_for_growth(state):
        refuse(state, event.token, RefusalCause.NOT_READY)
    elif len(leading.proposals) >= state.options.max_pending_proposals:
        refuse(state, event.token, RefusalCause.BUSY)
    else:
        index = state.log.last_index + 1
        state.append(Entry(index, state.term, data=event.data))
        leading.proposals[index] = event.token


def transfer_leadership(state: NodeState, target: NodeIdentity | None) -> None:
    """Hand leadership to a voter once it holds the whole log; proposals wait meanwhile."""
    leading = state.leading
    if leading is None:
        return
    target = target or replication.best_successor(state, leading)
    if target is None or target not in state.counted_voters or target == state.identity:
        return
    deadline = state.now + state.options.transfer_timeout_seconds
    leading.transfer = Transfer(target, deadline)
    replication.begin_transfer_when_caught_up(state, leading, target)


def keep_snapshot(state: NodeState, event: SnapshotTaken) -> None:
    """Store a snapshot of the application, and let go of the entries it stands for."""
    held = state.snapshot.index if state.snapshot is not None else 0
    term = state.log.term_at(event.index)
    if event.index <= held or event.index > state.commit_index or term is None:
        return
    membership = encode_membership(state.log.membership_at(event.index))
    snapshot = Snapshot(event.index, term, membership, event.data)
    state.replace_stored(snapshot, state.log.entries_after(event.index))
    state.log.compact(event.index - state.options.trailing_entries)


def stop_for_full_disk(state: NodeState) -> None:
    """Stop leading: a leader that can't write would only hold the group up."""
    state.disk_full = True
    leading = state.leading
    if leading is None:
        return
    successor = replication.best_successor(state, leading)
    if successor is not None:
        state.send(successor, TimeoutNow(state.term))
    roles.become_follower(state, state.term, None)
