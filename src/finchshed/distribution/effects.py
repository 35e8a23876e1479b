"""What a follower asks its surroundings to do."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from finchshed.configuration.resources import Endpoint
from finchshed.distribution.messages import Delta
from finchshed.distribution.snapshot import Configuration


class FollowerRecord(msgspec.Struct, frozen=True):
    """What a daemon with a data folder keeps across restarts.

    Attributes
    ----------
    highest_seen
        Highest revision the daemon has heard of from anyone.
    configuration
        Whole configuration it held, or None if it held none.
    """

    highest_seen: int
    configuration: Delta | None = None


class ServingBasis(enum.StrEnum):
    """Why a daemon may take calls."""

    NONE = "none"
    """It may not yet."""

    QUORUM = "quorum"
    """A quorum of control nodes confirmed the revision in this life of the process."""

    DISK_AND_PEERS = "disk_and_peers"
    """Its own disk holds the revision and most peers of its zone know of none higher."""


@dataclass(frozen=True, slots=True)
class FetchFromControl:
    """Send ``Fetch(revision)`` to the control node in use."""

    revision: int


@dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Send ``Fetch(revision)`` to ``peer``, which is known to hold a higher revision."""

    peer: str
    revision: int


@dataclass(frozen=True, slots=True)
class GreetPeers:
    """Open a link to each of these endpoints, to learn its revision."""

    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write the record and sync it, then call ``on_persisted`` or ``on_persist_failed``."""

    record: FollowerRecord


@dataclass(frozen=True, slots=True)
class TakeEffect:
    """Act on ``current`` from now on; ``previous`` is what was acted on before."""

    previous: Configuration
    current: Configuration


@dataclass(frozen=True, slots=True)
class ReportInForce:
    """Send ``InForce(revision)`` to the control node in use."""

    revision: int


@dataclass(frozen=True, slots=True)
class StartServing:
    """The daemon may take calls from now on."""

    basis: ServingBasis


FollowerEffect: TypeAlias = (
    FetchFromControl
    | FetchFromPeer
    | GreetPeers
    | PersistRecord
    | TakeEffect
    | ReportInForce
    | StartServing
)
