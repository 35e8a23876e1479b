"""Effects that a follower requests from its runner."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration


class FollowerRecord(msgspec.Struct, frozen=True):
    """State that a daemon with a data folder keeps across restarts.

    Attributes
    ----------
    highest_seen
        Highest revision reported to the daemon by any node.
    configuration
        Full configuration, or None if the daemon had none.
    """

    highest_seen: int
    configuration: Delta | None = None


class ServingBasis(enum.StrEnum):
    """Reason for which a daemon may accept calls."""

    NONE = "none"
    """The daemon may not accept calls yet."""

    QUORUM = "quorum"
    """A quorum of control nodes confirmed the revision since the process started."""

    DISK_AND_PEERS = "disk_and_peers"
    """The revision is on disk and a majority of peers in the zone reported none higher."""


@dataclass(frozen=True, slots=True)
class FetchFromControl:
    """Send ``Fetch(revision)`` to the connected control node."""

    revision: int


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Send ``Fetch(revision)`` to ``peer``, which is known to hold a higher revision."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True)
class ConnectToPeers:
    """Open a link to each of these endpoints to learn their revisions."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write and sync the record, then call ``on_persisted`` or ``on_persist_failed``."""

    record: FollowerRecord


@dataclass(frozen=True, slots=True)
class TakeEffect:
    """Replace the configuration in force, ``previous``, by ``current``."""

    previous: Configuration
    current: Configuration


@dataclass(frozen=True, slots=True)
class ReportInForce:
    """Send ``InForce(revision)`` to the connected control node."""

    revision: int


@dataclass(frozen=True, slots=True)
class StartServing:
    """Start accepting calls."""

    basis: ServingBasis


FollowerEffect: TypeAlias = (
    FetchFromControl
    | FetchFromPeer
    | ConnectToPeers
    | PersistRecord
    | TakeEffect
    | ReportInForce
    | StartServing
)
