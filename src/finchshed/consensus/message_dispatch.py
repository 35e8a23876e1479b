"""Dispatches messages from other nodes to the modules that handle them."""

from typing import TypeAlias

from finchshed.consensus import election, follower, formation, read_index, replication, roles
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.messages import (
    Append,
    AppendAccepted,
    AppendRejected,
    Envelope,
    LeaderHeartbeat,
    LeaderHeartbeatReply,
    NodeAnnouncement,
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

LeaderMessage: TypeAlias = Append | LeaderHeartbeat | SnapshotPiece | TimeoutNow
ReplyToLeader: TypeAlias = (
    AppendAccepted | AppendRejected | LeaderHeartbeatReply | SnapshotPieceReply
)
ElectionMessage: TypeAlias = PreVoteRequest | PreVoteReply | VoteRequest | VoteReply


def dispatch_message(state: NodeState, envelope: Envelope) -> None:
    """Handle a message; drop it if addressed to another name or incarnation."""
    receiver = envelope.receiver
    if receiver.name != state.identity.name:
        return
    if receiver.incarnation not in ("", state.identity.incarnation):
        return
    sender = envelope.sender
    state.learn_address(sender, envelope.address)
    match envelope.message:
        case Append() | LeaderHeartbeat() | SnapshotPiece() | TimeoutNow() as message:
            _dispatch_leader_message(state, sender, message)
        case (
            AppendAccepted()
            | AppendRejected()
            | LeaderHeartbeatReply()
            | SnapshotPieceReply() as reply
        ):
            _dispatch_reply_to_leader(state, sender, reply)
        case PreVoteRequest() | PreVoteReply() | VoteRequest() | VoteReply() as message:
            _dispatch_election_message(state, sender, message)
        case ReadIndex() as message:
            read_index.on_read_index(state, sender, message)
        case ReadIndexReply() as message:
            read_index.on_read_index_reply(state, message)
        case NodeAnnouncement() as message:
            formation.on_announcement(state, sender, message)


def _dispatch_leader_message(
    state: NodeState, sender: NodeIdentity, message: LeaderMessage
) -> None:
    match message:
        case Append():
            follower.on_append(state, sender, message)
        case LeaderHeartbeat():
            follower.on_heartbeat(state, sender, message)
        case SnapshotPiece():
            follower.on_snapshot_piece(state, sender, message)
        case TimeoutNow():
            election.on_timeout_now(state, message)


def _dispatch_election_message(
    state: NodeState, sender: NodeIdentity, message: ElectionMessage
) -> None:
    match message:
        case PreVoteRequest():
            election.on_pre_vote_request(state, sender, message)
        case PreVoteReply():
            election.on_pre_vote_reply(state, sender, message)
        case VoteRequest():
            election.on_vote_request(state, sender, message)
        case VoteReply():
            election.on_vote_reply(state, sender, message)


def _dispatch_reply_to_leader(
    state: NodeState, sender: NodeIdentity, message: ReplyToLeader
) -> None:
    """Handle a reply to the leader; a reply with a later term ends its leadership."""
    if message.term > state.term:
        roles.become_follower(state, message.term, None)
        return
    leader_state = state.leader_state
    if leader_state is None or message.term < state.term:
        return
    match message:
        case AppendAccepted():
            replication.on_accepted(state, leader_state, sender, message)
        case AppendRejected():
            replication.on_rejected(state, leader_state, sender, message)
        case LeaderHeartbeatReply():
            replication.on_heartbeat_reply(state, leader_state, sender, message)
        case SnapshotPieceReply():
            replication.on_snapshot_reply(state, leader_state, sender, message)
