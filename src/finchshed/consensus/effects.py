"""Effects returned by a node, to be executed in order.

:mod:`finchshed.consensus.effect_runner` dispatches them to the host.
"""

import enum
from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Membership
from finchshed.consensus.messages import Envelope
from finchshed.storage.records import Write


class RaftRole(enum.StrEnum):
    """Role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RefusalCause(enum.StrEnum):
    """Why a proposal, read or membership change was rejected without taking effect."""

    NOT_LEADER = "not_leader"
    BUSY = "busy"
    DISK_FULL = "disk_full"
    TRANSFERRING = "transferring"
    NOT_READY = "not_ready"
    CHANGE_IN_PROGRESS = "change_in_progress"
    UNKNOWN_NODE = "unknown_node"
    WOULD_LOSE_QUORUM = "would_lose_quorum"


class PromotionBlock(enum.StrEnum):
    """Why a node that is to become a voter is not one yet."""

    LEADER_NOT_READY = "the leader has committed no entry of its term yet"
    CHANGE_IN_PROGRESS = "another membership change is not committed yet"
    EARLIER_INCARNATION_RESPONDS = "an earlier incarnation of its name still responds"
    SILENT = "it does not respond"
    CATCHING_UP = "it has not caught up with the log"
    WOULD_LOSE_QUORUM = "too few of the other voters respond and hold the log"
    NEXT_CHECK = "it waits for the leader's next check"


class SendEnvelope(msgspec.Struct, frozen=True):
    """Send a message to an address. It may be lost, duplicated or reordered."""

    address: str
    envelope: Envelope


class PersistWrite(msgspec.Struct, frozen=True):
    """Make ``write`` durable after all earlier writes, then report ``WritePersisted(ticket)``."""

    ticket: int
    write: Write


class Apply(msgspec.Struct, frozen=True):
    """Apply a committed command to the application."""

    index: int
    term: int
    data: bytes


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Replace the application state with that of a snapshot."""

    index: int
    data: bytes


class SnapshotRequested(msgspec.Struct, frozen=True):
    """Take a snapshot of the state at ``index`` or later and report it as ``SnapshotTaken``."""

    index: int


class Committed(msgspec.Struct, frozen=True):
    """The proposal or membership change was committed at ``index`` and applied."""

    token: int
    index: int


class CommitOutcomeUnknown(msgspec.Struct, frozen=True):
    """Leadership ended before the proposal or change was committed; it may still commit."""

    token: int


class RequestRefused(msgspec.Struct, frozen=True):
    """The proposal, read or change had no effect. ``leader`` is the current leader, if known."""

    token: int
    cause: RefusalCause
    leader: NodeIdentity | None = None
    leader_address: str = ""


class ReadReady(msgspec.Struct, frozen=True):
    """The read may be served from the current application state; ``index`` is applied."""

    token: int
    index: int


class ReadFailed(msgspec.Struct, frozen=True):
    """The read was not confirmed before its deadline or before leadership ended."""

    token: int


class RoleChanged(msgspec.Struct, frozen=True):
    """The role, term or known leader changed."""

    role: RaftRole
    term: int
    leader: NodeIdentity | None


class MembershipChanged(msgspec.Struct, frozen=True):
    """The membership set by entry ``index`` is committed."""

    index: int
    membership: Membership


class PromotionBlocked(msgspec.Struct, frozen=True):
    """A node is still not a voter, for a new ``block``; reported at the leader."""

    identity: NodeIdentity
    block: PromotionBlock


Effect: TypeAlias = (
    SendEnvelope
    | PersistWrite
    | Apply
    | RestoreSnapshot
    | SnapshotRequested
    | Committed
    | CommitOutcomeUnknown
    | RequestRefused
    | ReadReady
    | ReadFailed
    | RoleChanged
    | MembershipChanged
    | PromotionBlocked
)
