"""What a node of the replicated log is told.

Owns no state; :mod:`finchshed.consensus.node` says what follows from each.
"""

from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import MembershipChange
from finchshed.consensus.messages import Envelope


class Tick(msgspec.Struct, frozen=True):
    """Time has passed. Sent at the latest after :meth:`RaftNode.next_delay` seconds."""


class MessageReceived(msgspec.Struct, frozen=True):
    """A line came from another node."""

    envelope: Envelope


class WritePersisted(msgspec.Struct, frozen=True):
    """The write of this ticket, and all before it, are durable."""

    ticket: int


class DiskFull(msgspec.Struct, frozen=True):
    """A write found no room. It will be tried again, in order, until there is room."""


class DiskSpaceAvailable(msgspec.Struct, frozen=True):
    """Writes go through again."""


class Propose(msgspec.Struct, frozen=True):
    """Append ``data`` to the log. ``token`` names the proposal in later effects."""

    token: int
    data: bytes


class Read(msgspec.Struct, frozen=True):
    """Ask for an index at which a local read is linearizable."""

    token: int


class ChangeMembership(msgspec.Struct, frozen=True):
    """Change the members of the group. Repeating a change that is in force is harmless."""

    token: int
    change: MembershipChange


class TransferLeadership(msgspec.Struct, frozen=True):
    """Hand leadership over before a planned stop; ``target`` None: the best voter."""

    target: NodeIdentity | None = None


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The application's state after the entry ``index``."""

    index: int
    data: bytes


Event: TypeAlias = (
    Tick
    | MessageReceived
    | WritePersisted
    | DiskFull
    | DiskSpaceAvailable
    | Propose
    | Read
    | ChangeMembership
    | TransferLeadership
    | SnapshotTaken
)
