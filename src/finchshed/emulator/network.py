"""Links between processes: delays, cuts, one-way cuts, slowness, duplicates and reordering.

A message on a cut link isn't lost: TCP keeps sending it, and it arrives late when the cut heals,
unless the connection was given up meanwhile. Connections are told apart by the epoch that their
messages carry, which the receiver checks. Duplicates and reordering don't happen within a TCP
connection; they are here as a harder test than the real network.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from finchshed.emulator.clock import Clock
from finchshed.emulator.streams import Streams

OUTSIDE: Final = "outside"
"""Zone of outside callers."""

SAME_ZONE_DELAY_SECONDS: Final = 0.0001
"""One-way delay within a zone, seconds; chosen, not measured."""
JITTER_FRACTION: Final = 0.1
"""Most that a delay is prolonged by, as a fraction of it; chosen, not measured."""


@dataclass(slots=True)
class Site:
    """Where a process runs."""

    node: str
    zone: str


@dataclass(slots=True)
class _Channel:
    """One direction between two nodes; keeps messages in order."""

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
        self._held: dict[tuple[str, str], list[tuple[Site, Site, Callable[[], None]]]] = {}
        self._extra: dict[tuple[str, str], float] = {}
        self.duplicate_probability = 0.0
        self.reorder_probability = 0.0
        self.reorder_seconds = 0.05
        self.messages = 0

    def send(self, source: Site, target: Site, deliver: Callable[[], None]) -> None:
        """Deliver a message after the link's delay, or once the link is whole again."""
        self.messages += 1
        cut = self._cut_between(source, target) if self._cuts else None
        if cut is not None:
            self._held.setdefault(cut, []).append((source, target, deliver))
            return
        self._schedule(source, target, deliver)
        if self.duplicate_probability and self._random.random() < self.duplicate_probability:
            self._schedule(source, target, deliver)

    def delay_between(self, source: Site, target: Site) -> float:
        """Return the one-way delay without jitter, seconds."""
        if source.zone == target.zone:
            delay = SAME_ZONE_DELAY_SECONDS
        elif OUTSIDE in (source.zone, target.zone):
            delay = self._client_delay
        else:
            delay = self._zone_delay
        if self._extra:
            delay += self._extra.get((source.zone, target.zone), 0.0)
            delay += self._extra.get((source.node, target.node), 0.0)
        return delay

    def reachable(self, source: Site, target: Site) -> bool:
        """Whether messages from ``source`` to ``target`` arrive at present."""
        return self._cut_between(source, target) is None

    def cut(self, source: str, target: str) -> None:
        """Stop messages from one node or zone to another. Cuts add up."""
        key = (source, target)
        self._cuts[key] = self._cuts.get(key, 0) + 1

    def heal(self, source: str, target: str) -> None:
        """Undo one :meth:`cut`; messages held meanwhile set out again."""
        key = (source, target)
        count = self._cuts.get(key, 0) - 1
        if count > 0:
            self._cuts[key] = count
            return
        self._cuts.pop(key, None)
        for held_source, held_target, deliver in self._held.pop(key, []):
            self.send(held_source, held_target, deliver)

    def slow(self, source: str, target: str, extra_seconds: float) -> None:
        """Add delay from one node or zone to another; zero undoes it."""
        if extra_seconds:
            self._extra[(source, target)] = extra_seconds
        else:
            self._extra.pop((source, target), None)

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
        if OUTSIDE not in (source.zone, target.zone):
            channel = self._channels.setdefault((source.node, target.node), _Channel())
            arrival = max(arrival, channel.last_arrival)
            channel.last_arrival = arrival
        self._clock.call_at(arrival, deliver)
