"""Messages between nodes of the replicated log.

Each message is sent in an :class:`Envelope`, encoded as one JSON line. A node drops envelopes
addressed to another incarnation of its name.
"""

from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity
from finchshed.storage.records import Entry


class PreVoteRequest(msgspec.Struct, frozen=True, tag="pre_vote"):
    """Asks whether a vote would be granted in ``term``; changes no node's term."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, tag="pre_vote_reply"):
    """``term`` is the requested term if granted, otherwise the sender's current term."""

    term: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, omit_defaults=True, tag="vote"):
    """Requests a vote in ``term``. ``transfer`` marks an election requested by the leader."""

    term: int
    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag="vote_reply"):
    """Sent once the vote is durable."""

    term: int
    granted: bool


class Append(msgspec.Struct, frozen=True, tag="append"):
    """Entries after entry ``previous_index`` of term ``previous_term``."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int


class AppendAccepted(msgspec.Struct, frozen=True, tag="append_accepted"):
    """Entries up to ``match_index`` match the leader's log and are durable on the sender."""

    term: int
    match_index: int


class AppendRejected(msgspec.Struct, frozen=True, tag="append_rejected"):
    """No matching entry at ``previous_index``; the leader should retry from ``next_index``."""

    term: int
    previous_index: int
    next_index: int


class LeaderHeartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Leader heartbeat. ``commit`` never exceeds the receiver's known match index.

    ``round`` increases with each leadership confirmation requested by reads or changes.
    """

    term: int
    commit: int
    round: int


class LeaderHeartbeatReply(msgspec.Struct, frozen=True, tag="heartbeat_reply"):
    """The sender knew no later term when it received heartbeat ``round``."""

    term: int
    round: int


class SnapshotPiece(msgspec.Struct, frozen=True, tag="snapshot_piece"):
    """A chunk of a snapshot of ``total_bytes``, starting at ``offset``."""

    term: int
    snapshot_index: int
    snapshot_term: int
    membership: bytes
    total_bytes: int
    offset: int
    data: bytes


class SnapshotPieceReply(msgspec.Struct, frozen=True, tag="snapshot_piece_reply"):
    """Bytes before ``next_offset`` have been received; requests the next chunk."""

    term: int
    snapshot_index: int
    next_offset: int


class ReadIndex(msgspec.Struct, frozen=True, tag="read_index"):
    """A follower requests an index at which a read is linearizable."""

    term: int
    request: int


class ReadIndexReply(msgspec.Struct, frozen=True, tag="read_index_reply"):
    """Leadership was confirmed after the request; reads at ``index`` or later are linearizable."""

    term: int
    request: int
    index: int


class TimeoutNow(msgspec.Struct, frozen=True, tag="timeout_now"):
    """Leadership transfer: the receiver starts an election at once."""

    term: int


class NodeAnnouncement(msgspec.Struct, frozen=True, tag="hello"):
    """Announces a node that is not a member, with its address.

    ``identity`` is repeated because a follower forwards the message to its leader. ``answers`` is
    the incarnation in the receiver's latest announcement to the sender, if any. ``zone`` is the
    zone of the announced node.
    """

    identity: NodeIdentity
    address: str
    formed: bool
    answers: str = ""
    zone: str = ""


Message: TypeAlias = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | Append
    | AppendAccepted
    | AppendRejected
    | LeaderHeartbeat
    | LeaderHeartbeatReply
    | SnapshotPiece
    | SnapshotPieceReply
    | ReadIndex
    | ReadIndexReply
    | TimeoutNow
    | NodeAnnouncement
)


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender and receiver.

    ``address`` is the sender's address, for receivers whose known membership does not contain the
    sender: new nodes, and nodes that missed membership changes.
    """

    sender: NodeIdentity
    receiver: NodeIdentity
    message: Message
    address: str = ""
