"""Limits of a hub, and what it asks the server to do."""

from dataclasses import dataclass
from functools import cached_property
from typing import TypeAlias

import msgspec

from finchshed.link.encoding import encode_line


@dataclass(frozen=True, slots=True)
class HubLimits:
    """Bounds and times of a hub.

    Attributes
    ----------
    history_changes
        Changes kept for merged deltas; who is further behind gets the whole configuration.
    heartbeat_seconds
        Each subscriber is sent at least one line in this time.
    silence_seconds
        A subscriber not heard from for this long is dropped and listed as silent.
    contact_grace_seconds
        Without a quorum for this long, subscribers are sent to other control nodes.
    repeat_seconds
        A fetch is taken as having crossed a delta on the way for this long after that delta.
    """

    history_changes: int = 512
    heartbeat_seconds: float = 0.5
    silence_seconds: float = 5.0
    contact_grace_seconds: float = 1.5
    repeat_seconds: float = 0.8


@dataclass(frozen=True)
class SharedLine:
    """A message for many subscribers; encoded when the first of them is written to."""

    message: msgspec.Struct

    @cached_property
    def line(self) -> bytes:
        """The encoded line."""
        return encode_line(self.message)


@dataclass(frozen=True, slots=True)
class SendLine:
    """Write ``line`` to each of ``subscribers``."""

    subscribers: tuple[int, ...]
    line: SharedLine


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection of ``subscriber``."""

    subscriber: int


@dataclass(frozen=True, slots=True)
class RequestConfirmation:
    """Ask a quorum for the latest revision, apply up to it, then call ``on_confirmed(ticket)``.

    No answer is needed when no quorum answers; the next tick asks again.
    """

    ticket: int


HubEffect: TypeAlias = SendLine | Close | RequestConfirmation
