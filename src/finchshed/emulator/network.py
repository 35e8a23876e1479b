"""Network between processes, with delays, partitions, duplicates and reordering.

A message on a cut link isn't lost: as with TCP retransmission, it arrives once the cut heals. The
receiver drops it if its connection, identified by an epoch, has been closed meanwhile. Duplicates
and reordering can't occur within a TCP connection and are a stricter test than the real network.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from finchshed.emulator.clock import Clock
from finchshed.emulator.streams import Streams

EXTERNAL_ZONE: Final = "outside"
"""Zone of external callers."""

SAME_ZONE_DELAY_SECONDS: Final = 0.0001
"""One-way delay within a zone."""
JITTER_FRACTION: Final = 0.1
"""Maximum jitter as a fraction of the delay."""


@dataclass(slots=True)
class Site:
    """Location of a process."""

    node: str
    zone: str


@dataclass(slots=True)
class _Channel:
    """State of one direction between two nodes, which keeps messages in order."""

    last_arrival: float = 0.0


class Network:
    """Delivers messages between sites.

    Parameters
    ----------
    zone_delay, client_delay
        One-way delays in seconds.
    """

    def __init__(
        self, clock: Clock, streams: Streams, zone_delay: float, client_delay: float
    ) -> None:
        self._clock = clock
        self._random = streams.python("network")
        self._zone_delay = zone_delay
        self._client_delay = client_delay
        self._channels: dict[tuple[str, str], _Channel] = {}
        self._cuts: dict[tuple[str, str], int] = {}
        self._held_messages: dict[tuple[str, str], list[tuple[Site, Site, Callable[[], None]]]] = {}
        self._extra_delays: dict[tuple[str, str], float] = {}
        self.duplicate_probability = 0.0
        self.reorder_probability = 0.0
        self.reorder_seconds = 0.05
        self.messages = 0

    def send(self, source: Site, target: Site, deliver: Callable[[], None]) -> None:
        """Deliver a message after the link's delay, or hold it until a cut heals."""
        self.messages += 1
        cut = self._cut_between(source, target) if self._cuts else None
        if cut is not None:
            self._held_messages.setdefault(cut, []).append((source, target, deliver))
            return
        self._schedule(source, target, deliver)
        if self.duplicate_probability and self._random.random() < self.duplicate_probability:
            self._schedule(source, target, deliver)

    def delay_between(self, source: Site, target: Site) -> float:
        """Return the one-way delay without jitter, seconds."""
        if source.zone == target.zone:
            delay = SAME_ZONE_DELAY_SECONDS
        elif EXTERNAL_ZONE in (source.zone, target.zone):
            delay = self._client_delay
        else:
            delay = self._zone_delay
        if self._extra_delays:
            delay += self._extra_delays.get((source.zone, target.zone), 0.0)
            delay += self._extra_delays.get((source.node, target.node), 0.0)
        return delay

    def reachable(self, source: Site, target: Site) -> bool:
        """Whether no cut blocks messages from ``source`` to ``target``."""
        return self._cut_between(source, target) is None

    def cut(self, source: str, target: str) -> None:
        """Block messages from one node or zone to another. Cuts are counted."""
        key = (source, target)
        self._cuts[key] = self._cuts.get(key, 0) + 1

    def heal(self, source: str, target: str) -> None:
        """Undo one :meth:`cut`; the last one releases the held messages."""
        key = (source, target)
        count = self._cuts.get(key, 0) - 1
        if count > 0:
            self._cuts[key] = count
            return
        self._cuts.pop(key, None)
        for held_source, held_target, deliver in self._held_messages.pop(key, []):
            self.send(held_source, held_target, deliver)

    def slow(self, source: str, target: str, extra_seconds: float) -> None:
        """Set an extra delay from one node or zone to another; zero removes it."""
        if extra_seconds:
            self._extra_delays[(source, target)] = extra_seconds
        else:
            self._extra_delays.pop((source, target), None)

    def _cut_between(self, source: Site, target: Site) -> tuple[str, str] | None:
        for key in (
            (source.zone, target.zone),
            (source.node, target.node),
            (source.node, "*"),
            ("*", target.node),
        ):
            if key in self._cuts:
                return key
        return None

    def _schedule(self, source: Site, target: Site, deliver: Callable[[], None]) -> None:
        delay = self.delay_between(source, target)
        arrival = self._clock.now + delay * (1.0 + JITTER_FRACTION * self._random.random())
        if self.reorder_probability and self._random.random() < self.reorder_probability:
            self._clock.call_at(arrival + self.reorder_seconds * self._random.random(), deliver)
            return
        if EXTERNAL_ZONE not in (source.zone, target.zone):
            channel = self._channels.setdefault((source.node, target.node), _Channel())
            arrival = max(arrival, channel.last_arrival)
            channel.last_arrival = arrival
        self._clock.call_at(arrival, deliver)
