"""Linearizable reads without writing to the log (section 6.4 of the Raft dissertation).

The leader notes its commit index, then confirms by a round of heartbeats that no other leader had
been elected when the read came. It never trusts a clock. A follower asks the leader for the index
and answers once it has applied that much.
"""

from finchshed.consensus.effects import (
    RaftRole,
    ReadFailed,
    ReadReady,
    RefusalCause,
    RequestRefused,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership_changes import round_answered_by
from finchshed.consensus.messages import ReadIndex, ReadIndexReply
from finchshed.consensus.replication import send_heartbeats
from finchshed.consensus.state import ForwardedRead, LeaderState, NodeState, PendingRead


def on_read(state: NodeState, token: int) -> None:
    """Start a local read."""
    deadline = state.now + state.options.read_timeout_seconds
    if state.leading is not None:
        _add(state, state.leading, token, None, deadline)
    elif state.role is RaftRole.FOLLOWER and state.leader is not None:
        state.next_request += 1
        state.forwarded_reads[state.next_request] = ForwardedRead(token, deadline)
        state.send(state.leader, ReadIndex(state.term, state.next_request))
    else:
        state.effects.append(RequestRefused(token, RefusalCause.NOT_LEADER))


def on_read_index(state: NodeState, sender: NodeIdentity, message: ReadIndex) -> None:
    """Start a follower's read; a node that is not the leader stays silent."""
    if state.leading is not None:
        deadline = state.now + state.options.read_timeout_seconds
        _add(state, state.leading, message.request, sender, deadline)


def on_read_index_reply(state: NodeState, message: ReadIndexReply) -> None:
    """Take the leader's confirmation: the read is ready once its index is applied here."""
    read = state.forwarded_reads.get(message.request)
    if read is None:
        return
    read.index = message.index
    if state.commit_index >= message.index:
        del state.forwarded_reads[message.request]
        state.effects.append(ReadReady(read.token, state.commit_index))


def start_round(state: NodeState, leading: LeaderState) -> None:
    """Start a round for what waits for one, once the round before it is confirmed."""
    waiting = any(read.round > leading.round for read in leading.reads)
    change = leading.pending_change
    waiting = waiting or (change is not None and change.round > leading.round)
    if waiting and _confirmed_round(state, leading) >= leading.round:
        leading.round += 1
        send_heartbeats(state, leading)


def finish_reads(state: NodeState, leading: LeaderState) -> None:
    """Answer the reads whose round a quorum confirmed."""
    if not leading.reads:
        return
    confirmed = _confirmed_round(state, leading)
    ready = [read for read in leading.reads if _is_ready(state, read, confirmed)]
    if not ready:
        return
    leading.reads = [read for read in leading.reads if read not in ready]
    for read in ready:
        if read.requester is None:
            state.effects.append(ReadReady(read.token, state.commit_index))
        else:
            reply = ReadIndexReply(state.term, read.token, read.index)
            state.send(read.requester, reply)


def expire_reads(state: NodeState) -> None:
    """Fail the reads that were not confirmed in time."""
    expired = [key for key, read in state.forwarded_reads.items() if read.deadline <= state.now]
    for key in expired:
        read = state.forwarded_reads.pop(key)
        state.effects.append(ReadFailed(read.token))
    leading = state.leading
    if leading is None:
        return
    for pending in leading.reads:
        if pending.deadline <= state.now and pending.requester is None:
            state.effects.append(ReadFailed(pending.token))
    leading.reads = [read for read in leading.reads if read.deadline > state.now]


def _add(
    state: NodeState,
    leading: LeaderState,
    token: int,
    requester: NodeIdentity | None,
    deadline: float,
) -> None:
    # Until an entry of the own term is committed the leader doesn't know which entries of earlier
    # terms are; the first entry of its term stands for them all.
    index = max(state.commit_index, leading.term_start_index)
    leading.reads.append(PendingRead(token, requester, leading.round + 1, index, deadline))


def _is_ready(state: NodeState, read: PendingRead, confirmed: int) -> bool:
    if read.round > confirmed:
        return False
    return read.requester is not None or read.index <= state.commit_index


def _confirmed_round(state: NodeState, leading: LeaderState) -> int:
    """Return the highest round that a majority of voters has answered."""
    voters = state.counted_voters
    rounds = sorted((round_answered_by(state, leading, voter) for voter in voters), reverse=True)
    return rounds[state.quorum - 1] if len(rounds) >= state.quorum else 0
