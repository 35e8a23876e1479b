"""Messages between nodes of the replicated log.

Each travels in an :class:`Envelope`, one JSON line. A node drops an envelope that is addressed to
another incarnation of its name.
"""

from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity
from finchshed.storage.records import Entry


class PreVoteRequest(msgspec.Struct, frozen=True, tag="pre_vote"):
    """Would you vote for me in ``term``? Nobody's term changes by asking."""

    term: int
    last_index: int
    last_term: int


class PreVoteReply(msgspec.Struct, frozen=True, tag="pre_vote_reply"):
    """Answer. ``term`` is the term asked for if granted, else the answerer's own term."""

    term: int
    granted: bool


class VoteRequest(msgspec.Struct, frozen=True, omit_defaults=True, tag="vote"):
    """Vote for me in ``term``. ``transfer``: the leader itself asked for the election."""

    term: int
    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag="vote_reply"):
    """Answer, sent once the vote is durable."""

    term: int
    granted: bool


class Append(msgspec.Struct, frozen=True, tag="append"):
    """Entries that follow the entry ``previous_index`` of ``previous_term``."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int


class AppendAccepted(msgspec.Struct, frozen=True, tag="append_accepted"):
    """All entries up to ``match_index`` equal the leader's and are durable here."""

    term: int
    match_index: int


class AppendRejected(msgspec.Struct, frozen=True, tag="append_rejected"):
    """The entry before ``previous_index + 1`` is not here; try from ``next_index``."""

    term: int
    previous_index: int
    next_index: int


class LeaderHeartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """The leader is there. ``commit`` is within what the receiver is known to hold.

    ``round`` grows with each confirmation of leadership that reads wait for.
    """

    term: int
    commit: int
    round: int


class LeaderHeartbeatReply(msgspec.Struct, frozen=True, tag="heartbeat_reply"):
    """At the time of ``round`` the sender knew no later term."""

    term: int
    round: int


class SnapshotPiece(msgspec.Struct, frozen=True, tag="snapshot_piece"):
    """A piece of a snapshot of ``total_bytes``, starting at ``offset``."""

    term: int
    snapshot_index: int
    snapshot_term: int
    membership: bytes
    total_bytes: int
    offset: int
    data: bytes


class SnapshotPieceReply(msgspec.Struct, frozen=True, tag="snapshot_piece_reply"):
    """Pieces up to ``next_offset`` are held; the next one is wanted."""

    term: int
    snapshot_index: int
    next_offset: int


class ReadIndex(msgspec.Struct, frozen=True, tag="read_index"):
    """A follower asks for an index at which a read is linearizable."""

    term: int
    request: int


class ReadIndexReply(msgspec.Struct, frozen=True, tag="read_index_reply"):
    """Leadership was confirmed after the request came: read at ``index`` or later."""

    term: int
    request: int
    index: int


class TimeoutNow(msgspec.Struct, frozen=True, tag="timeout_now"):
    """The leader hands over: start an election at once."""

    term: int


class MemberGreeting(msgspec.Struct, frozen=True, tag="hello"):
    """A node that is no member greets the group, naming where it can be reached.

    ``identity`` is repeated because a follower passes the greeting on to its leader. ``answers``
    is the incarnation of the receiver's last greeting, if the sender has heard one. ``zone`` is
    that of the greeting node.
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
    | MemberGreeting
)


class Envelope(msgspec.Struct, frozen=True):
    """One line between two nodes.

    ``address`` is where the sender is reached: a newcomer, or a node that was away while members
    changed, knows no membership that names it.
    """

    sender: NodeIdentity
    receiver: NodeIdentity
    message: Message
    address: str = ""
