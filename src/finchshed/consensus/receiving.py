"""Messages from other nodes, each handed to the module that deals with it.

Owns no state; a message to another name or incarnation goes no further.
"""

from typing import TypeAlias

from finchshed.consensus import election, following, formation, read_index, replication, roles
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import (
    Append,
    AppendAccepted,
    AppendRejected,
    Envelope,
    LeaderHeartbeat,
    LeaderHeartbeatReply,
    MemberGreeting,
    PreVoteReply,
    PreVoteRequest,
    ReadIndex,
    ReadIndexReply,
    SnapshotPiece,
    SnapshotPieceReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from finchshed.consensus.state import NodeState

FromLeader: TypeAlias = Append | LeaderHeartbeat | SnapshotPiece | TimeoutNow
ToLeader: TypeAlias = AppendAccepted | AppendRejected | LeaderHeartbeatReply | SnapshotPieceReply
OfElection: TypeAlias = PreVoteRequest | PreVoteReply | VoteRequest | VoteReply


def receive(state: NodeState, envelope: Envelope) -> None:
    """Take a message, unless it is for somebody else."""
    receiver = envelope.receiver
    if receiver.name != state.identity.name:
        return
    if receiver.incarnation not in ("", state.identity.incarnation):
        return
    sender = envelope.sender
    state.hear_address(sender, envelope.address)
    match envelope.message:
        case Append() | LeaderHeartbeat() | SnapshotPiece() | TimeoutNow() as message:
            _receive_from_leader(state, sender, message)
        case (
            AppendAccepted()
            | AppendRejected()
            | LeaderHeartbeatReply()
            | SnapshotPieceReply() as reply
        ):
            _receive_answer(state, sender, reply)
        case PreVoteRequest() | PreVoteReply() | VoteRequest() | VoteReply() as message:
            _receive_of_election(state, sender, message)
        case ReadIndex() as message:
            read_index.on_read_index(state, sender, message)
        case ReadIndexReply() as message:
            read_index.on_read_index_reply(state, message)
        case MemberGreeting() as message:
            formation.on_hello(state, sender, message)


def _receive_from_leader(state: NodeState, sender: NodeIdentity, message: FromLeader) -> None:
    match message:
        case Append():
            following.on_append(state, sender, message)
        case LeaderHeartbeat():
            following.on_heartbeat(state, sender, message)
        case SnapshotPiece():
            following.on_snapshot_piece(state, sender, message)
        case TimeoutNow():
            election.on_timeout_now(state, message)


def _receive_of_election(state: NodeState, sender: NodeIdentity, message: OfElection) -> None:
    match message:
        case PreVoteRequest():
            election.on_pre_vote(state, sender, message)
        case PreVoteReply():
            election.on_pre_vote_reply(state, sender, message)
        case VoteRequest():
            election.on_vote(state, sender, message)
        case VoteReply():
            election.on_vote_reply(state, sender, message)


def _receive_answer(state: NodeState, sender: NodeIdentity, message: ToLeader) -> None:
    """Take an answer to the leader; one of a later term ends the leadership."""
    if message.term > state.term:
        roles.become_follower(state, message.term, None)
        return
    leading = state.leading
    if leading is None or message.term < state.term:
        return
    match message:
        case AppendAccepted():
            replication.on_accepted(state, leading, sender, message)
        case AppendRejected():
            replication.on_rejected(state, leading, sender, message)
        case LeaderHeartbeatReply():
            replication.on_heartbeat_reply(state, leading, sender, message)
        case SnapshotPieceReply():
            replication.on_snapshot_reply(state, leading, sender, message)
