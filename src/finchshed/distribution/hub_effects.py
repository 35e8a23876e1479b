"""Limits of a hub, and the effects that it requests from its server."""

from dataclasses import dataclass
from functools import cached_property
from typing import TypeAlias

import msgspec

from finchshed.link.encoding import encode_line


@dataclass(frozen=True, slots=True)
class HubLimits:
    """Limits and intervals of a hub.

    Attributes
    ----------
    history_changes, history_bytes
        Number of changes kept for merged deltas, and their size in encoded form. Subscribers
        further behind receive the full configuration.
    unsent_bytes
        Unsent bytes to all subscribers together above which those with the most are skipped.
    heartbeat_seconds
        Interval between heartbeats to each subscriber.
    silence_seconds
        Time without a message after which a subscriber is dropped and reported as silent.
    contact_grace_seconds
        Time without a quorum after which subscribers are redirected to other control nodes.
    repeat_seconds
        Time after sending a delta during which a fetch of the same changes is ignored, because it
        was probably sent before the delta arrived.
    """

    history_changes: int = 512
    history_bytes: int = 2 << 20
    unsent_bytes: int = 64 << 20
    heartbeat_seconds: float = 0.5
    silence_seconds: float = 5.0
    contact_grace_seconds: float = 1.5
    repeat_seconds: float = 0.8


@dataclass(frozen=True)
class SharedLine:
    """A message for several subscribers, encoded once on first use."""

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
    """Read the latest revision from a quorum, apply it, then call ``on_confirmed(ticket)``.

    A failed read needs no callback, because the next tick requests another one.
    """

    ticket: int


HubEffect: TypeAlias = SendLine | Close | RequestConfirmation
