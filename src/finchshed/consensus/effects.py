"""What a node of the replicated log asks for. Effects are carried out in order.

Relies on the host for all of it;
:mod:`finchshed.consensus.effect_runner` is the part that hosts share.
"""

import enum
from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Membership
from finchshed.consensus.messages import Envelope
from finchshed.storage.records import Write


class RaftRole(enum.StrEnum):
    """What a node is at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RefusalCause(enum.StrEnum):
    """Why a proposal, read or change was not taken. It has had no effect."""

    NOT_LEADER = "not_leader"
    BUSY = "busy"
    DISK_FULL = "disk_full"
    TRANSFERRING = "transferring"
    NOT_READY = "not_ready"
    CHANGE_IN_PROGRESS = "change_in_progress"
    UNKNOWN_NODE = "unknown_node"
    WOULD_LOSE_QUORUM = "would_lose_quorum"


class SendEnvelope(msgspec.Struct, frozen=True):
    """Send a line to an address. It may be lost, repeated or reordered."""

    address: str
    envelope: Envelope


class PersistWrite(msgspec.Struct, frozen=True):
    """Make ``write`` durable, after all earlier ones, then tell ``WritePersisted(ticket)``."""

    ticket: int
    write: Write


class Apply(msgspec.Struct, frozen=True):
    """A committed command, for the application to apply."""

    index: int
    term: int
    data: bytes


class RestoreSnapshot(msgspec.Struct, frozen=True):
    """Replace the application's state by that of a snapshot."""

    index: int
    data: bytes


class SnapshotRequested(msgspec.Struct, frozen=True):
    """Answer with ``SnapshotTaken`` for the state after ``index``, or a later one, soon."""

    index: int


class Committed(msgspec.Struct, frozen=True):
    """The proposal or change is committed as entry ``index``, and applied."""

    token: int
    index: int


class CommitOutcomeUnknown(msgspec.Struct, frozen=True):
    """Leadership ended first; whether the proposal or change commits is unknown."""

    token: int


class RequestRefused(msgspec.Struct, frozen=True):
    """The proposal, read or change had no effect. ``leader`` may be another node to ask."""

    token: int
    cause: RefusalCause
    leader: NodeIdentity | None = None
    leader_address: str = ""


class ReadReady(msgspec.Struct, frozen=True):
    """The application, as it is now, may answer the read; ``index`` has been applied."""

    token: int
    index: int


class ReadFailed(msgspec.Struct, frozen=True):
    """No quorum confirmed the read in time."""

    token: int


class RoleChanged(msgspec.Struct, frozen=True):
    """The role, term or known leader changed."""

    role: RaftRole
    term: int
    leader: NodeIdentity | None


class MembershipChanged(msgspec.Struct, frozen=True):
    """The membership of entry ``index`` is committed."""

    index: int
    membership: Membership


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
)
