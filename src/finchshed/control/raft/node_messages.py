"""Lines between control nodes."""

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
    """First line of a connection: who dials, and where it serves daemons."""

    node: str
    distribution_address: str


class RaftMessage(msgspec.Struct, frozen=True, tag="raft"):
    """A message of the replicated log."""

    envelope: Envelope


class ForwardedCommand(msgspec.Struct, frozen=True, tag="command"):
    """A command for the leader. Sending it again is harmless: commands name themselves."""

    request: int
    command: Command


class ForwardedChange(msgspec.Struct, frozen=True, tag="membership_change"):
    """A change of the group's members, for the leader."""

    request: int
    change: MembershipChange


class ForwardOutcome(enum.StrEnum):
    """What became of something forwarded."""

    DONE = "done"
    NOT_TAKEN = "not_taken"
    """It had no effect."""

    UNKNOWN = "unknown"
    """It may yet be committed."""


class ForwardReply(msgspec.Struct, frozen=True, omit_defaults=True, tag="reply"):
    """The leader's answer. ``result`` is there for a command that is done."""

    request: int
    outcome: ForwardOutcome
    result: CommandResult | None = None
    detail: str = ""


class DirectoryReport(msgspec.Struct, frozen=True, tag="directory_report"):
    """Registrations of back ends whose daemons are connected to the sender."""

    registrations: tuple[Registration, ...]


class ForwardedQuota(msgspec.Struct, frozen=True, tag="quota"):
    """A daemon's report or ask, for the leader; answered on the same link, or lost."""

    daemon: str
    request: QuotaRequest


class QuotaReply(msgspec.Struct, frozen=True, tag="quota_reply"):
    """The leader's answer, for a daemon connected to the receiver."""

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
