"""Messages between control nodes."""

import enum
from typing import TypeAlias

import msgspec

from finchshed.consensus.membership import MembershipChange
from finchshed.consensus.messages import Envelope
from finchshed.control.state.commands import Command, CommandResult
from finchshed.directory.registration import Registration
from finchshed.distribution.status import InForceReport
from finchshed.quarantine.messages import CrashNews
from finchshed.quota.messages import QuotaAnswer, QuotaRequest


class PeerHello(msgspec.Struct, frozen=True, tag="peer_hello"):
    """First message on a connection: the sender's name and its address for daemons."""

    node: str
    distribution_address: str


class RaftMessage(msgspec.Struct, frozen=True, tag="raft"):
    """Message between two Raft nodes; the envelope names its sender and receiver."""

    envelope: Envelope


class ForwardedCommand(msgspec.Struct, frozen=True, tag="command"):
    """Command forwarded to the leader. Resending it is safe because commands are idempotent."""

    request: int
    command: Command


class ForwardedChange(msgspec.Struct, frozen=True, tag="membership_change"):
    """Membership change forwarded to the leader."""

    request: int
    change: MembershipChange


class ForwardOutcome(enum.StrEnum):
    """Outcome of a forwarded request."""

    DONE = "done"
    NOT_TAKEN = "not_taken"
    """The request had no effect."""

    UNKNOWN = "unknown"
    """The request may still be committed."""


class ForwardReply(msgspec.Struct, frozen=True, omit_defaults=True, tag="reply"):
    """Leader's reply. ``result`` is set for a committed command."""

    request: int
    outcome: ForwardOutcome
    result: CommandResult | None = None
    detail: str = ""


class DirectoryReport(msgspec.Struct, frozen=True, tag="directory_report"):
    """Registrations of the back ends whose daemons are connected to the sender."""

    registrations: tuple[Registration, ...]


class ForwardedQuota(msgspec.Struct, frozen=True, tag="quota"):
    """Daemon's quota request forwarded to the leader; best effort, answered on the same link."""

    daemon: str
    request: QuotaRequest


class QuotaReply(msgspec.Struct, frozen=True, tag="quota_reply"):
    """Leader's quota answer for a daemon connected to the receiver."""

    daemon: str
    answer: QuotaAnswer


PeerMessage: TypeAlias = (
    PeerHello
    | RaftMessage
    | ForwardedCommand
    | ForwardedChange
    | ForwardReply
    | InForceReport
    | DirectoryReport
    | ForwardedQuota
    | QuotaReply
    | CrashNews
)
