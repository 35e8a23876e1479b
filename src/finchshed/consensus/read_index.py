"""Linearizable reads without writing to the log (section 6.4 of the Raft dissertation).

The leader records its commit index, then confirms with a heartbeat round that no other leader had
been elected when the read arrived; no clock is involved. A follower requests the index from the
leader and serves the read once it has applied that index.
"""

import math

from finchshed.consensus.effects import (
    RaftRole,
    ReadFailed,
    ReadReady,
    RefusalCause,
    RequestRefused,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership_changes import acknowledged_round_of
from finchshed.consensus.messages import ReadIndex, ReadIndexReply
from finchshed.consensus.replication import send_heartbeats
from finchshed.consensus.state import ForwardedRead, LeaderState, NodeState, PendingRead


def on_read(state: NodeState, token: int) -> None:
    """Start a local read."""
    deadline = state.now + state.options.read_timeout_seconds
    if state.leader_state is not None:
        _add_pending_read(state, state.leader_state, token, None, deadline)
    elif state.role is RaftRole.FOLLOWER and state.leader is not None:
        state.next_request += 1
        state.forwarded_reads[state.next_request] = ForwardedRead(token, deadline)
        state.send(state.leader, ReadIndex(state.term, state.next_request))
    else:
        state.effects.append(RequestRefused(token, RefusalCause.NOT_LEADER))


def on_read_index(state: NodeState, sender: NodeIdentity, message: ReadIndex) -> None:
    """Start a read for a follower; ignored unless this node is the leader."""
    if state.leader_state is not None:
        deadline = state.now + state.options.read_timeout_seconds
        _add_pending_read(state, state.leader_state, message.request, sender, deadline)


def on_read_index_reply(state: NodeState, message: ReadIndexReply) -> None:
    """Record the confirmed index; the read is ready once this node has applied it."""
    read = state.forwarded_reads.get(message.request)
    if read is None:
        return
    read.index = message.index
    if state.commit_index >= message.index:
        del state.forwarded_reads[message.request]
        state.effects.append(ReadReady(read.token, state.commit_index))


def start_confirmation_round(state: NodeState, leader_state: LeaderState) -> None:
    """Start a heartbeat round if reads or a change need one and the previous one is confirmed."""
    waiting = any(read.round > leader_state.round for read in leader_state.reads)
    change = leader_state.pending_change
    waiting = waiting or (change is not None and change.round > leader_state.round)
    if waiting and _confirmed_round(state, leader_state) >= leader_state.round:
        leader_state.round += 1
        send_heartbeats(state, leader_state)


def complete_confirmed_reads(state: NodeState, leader_state: LeaderState) -> None:
    """Complete the reads whose round is confirmed by a quorum."""
    if not leader_state.reads:
        return
    confirmed = _confirmed_round(state, leader_state)
    ready = [read for read in leader_state.reads if _is_ready(state, read, confirmed)]
    if not ready:
        return
    leader_state.reads = [read for read in leader_state.reads if read not in ready]
    for read in ready:
        if read.requester is None:
            state.effects.append(ReadReady(read.token, state.commit_index))
        else:
            reply = ReadIndexReply(state.term, read.token, read.index)
            state.send(read.requester, reply)


def next_expiry(state: NodeState) -> float:
    """Return the earliest deadline of a read, infinite without reads.

    Reads are kept in the order of their arrival, and all are given the same time.
    """
    forwarded = next(iter(state.forwarded_reads.values()), None)
    deadline = math.inf if forwarded is None else forwarded.deadline
    leader_state = state.leader_state
    if leader_state is not None and leader_state.reads:
        deadline = min(deadline, leader_state.reads[0].deadline)
    return deadline


def expire_reads(state: NodeState) -> None:
    """Fail reads whose deadline has passed."""
    expired = [key for key, read in state.forwarded_reads.items() if read.deadline <= state.now]
    for key in expired:
        read = state.forwarded_reads.pop(key)
        state.effects.append(ReadFailed(read.token))
    leader_state = state.leader_state
    if leader_state is None:
        return
    for pending in leader_state.reads:
        if pending.deadline <= state.now and pending.requester is None:
            state.effects.append(ReadFailed(pending.token))
    leader_state.reads = [read for read in leader_state.reads if read.deadline > state.now]


def _add_pending_read(
    state: NodeState,
    leader_state: LeaderState,
    token: int,
    requester: NodeIdentity | None,
    deadline: float,
) -> None:
    # The leader knows which entries of earlier terms are committed only once the first entry of its
    # own term is.
    index = max(state.commit_index, leader_state.term_start_index)
    leader_state.reads.append(
        PendingRead(token, requester, leader_state.round + 1, index, deadline)
    )


def _is_ready(state: NodeState, read: PendingRead, confirmed: int) -> bool:
    if read.round > confirmed:
        return False
    return read.requester is not None or read.index <= state.commit_index


def _confirmed_round(state: NodeState, leader_state: LeaderState) -> int:
    """Return the highest heartbeat round acknowledged by a quorum."""
    voters = state.counted_voters
    rounds = sorted(
        (acknowledged_round_of(state, leader_state, voter) for voter in voters), reverse=True
    )
    return rounds[state.quorum - 1] if len(rounds) >= state.quorum else 0
