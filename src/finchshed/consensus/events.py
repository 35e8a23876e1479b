"""Input events of a node, handled by :mod:`finchshed.consensus.node`."""

from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import MembershipChange
from finchshed.consensus.messages import Envelope


class Tick(msgspec.Struct, frozen=True):
    """No other event came for :meth:`RaftNode.next_delay` seconds, and a duty may be due."""


class MessageReceived(msgspec.Struct, frozen=True):
    """A message arrived from another node."""

    envelope: Envelope


class WritePersisted(msgspec.Struct, frozen=True):
    """The write with this ticket and all earlier writes are durable."""

    ticket: int


class DiskFull(msgspec.Struct, frozen=True):
    """A write failed because the disk is full. The host retries it, in order, until it succeeds."""


class DiskSpaceAvailable(msgspec.Struct, frozen=True):
    """Writes succeed again after :class:`DiskFull`."""


class Propose(msgspec.Struct, frozen=True):
    """Append ``data`` to the log. ``token`` identifies the proposal in later effects."""

    token: int
    data: bytes


class Read(msgspec.Struct, frozen=True):
    """Request permission for a linearizable read of the local application state."""

    token: int


class ChangeMembership(msgspec.Struct, frozen=True):
    """Change the group membership. Repeating a change that is in effect is harmless."""

    token: int
    change: MembershipChange


class TransferLeadership(msgspec.Struct, frozen=True):
    """Transfer leadership before a planned stop. None picks the most caught-up voter."""

    target: NodeIdentity | None = None


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The application state after entry ``index``."""

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
