"""Carries out the effects of a node, the same way in production and in simulation.

The host owns sockets, the clock and the thread that writes. It calls :meth:`EffectRunner.handle`
with events, and runs one write at a time: :meth:`EffectRunner.take_pending_writes`, then
:meth:`~finchshed.storage.log_store.LogStore.write` wherever blocking is allowed, then
:meth:`EffectRunner.on_write_finished`. While a write runs, later ones gather and share the next
sync.
"""

from collections.abc import Sequence
from typing import Protocol

from finchshed.consensus.effects import (
    Apply,
    Effect,
    PersistWrite,
    RestoreSnapshot,
    SendEnvelope,
    SnapshotRequested,
)
from finchshed.consensus.events import (
    DiskFull,
    DiskSpaceAvailable,
    Event,
    SnapshotTaken,
    WritePersisted,
)
from finchshed.consensus.messages import Envelope
from finchshed.consensus.node import RaftNode
from finchshed.storage.log_store import WriteOutcome
from finchshed.storage.records import Write


class Host(Protocol):
    """What a runner needs of its surroundings."""

    def send(self, address: str, envelope: Envelope) -> None:
        """Send a line; losing it is allowed."""
        ...

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command to the application."""
        ...

    def restore(self, index: int, data: bytes) -> None:
        """Replace the application's state by a snapshot's."""
        ...

    def snapshot(self) -> bytes:
        """Return the application's state after the last applied command."""
        ...

    def report(self, effect: Effect) -> None:
        """Take any other effect: results of proposals and reads, changes of role."""
        ...


class EffectRunner:
    """Connects a node, its storage and its host."""

    def __init__(self, node: RaftNode, host: Host) -> None:
        self._node = node
        self._host = host
        self._queued: list[PersistWrite] = []
        self._writing: list[PersistWrite] = []
        self._disk_full = False

    @property
    def node(self) -> RaftNode:
        """The node."""
        return self._node

    @property
    def has_pending_writes(self) -> bool:
        """Whether a write should be started: one is wanted and none is running."""
        return bool(self._queued) and not self._writing

    def start(self, now: float) -> None:
        """Bring the application to the state found on the disk."""
        self._carry_out(self._node.start(now))

    def handle(self, events: Sequence[Event], now: float) -> None:
        """Tell the node ``events`` and carry out what follows. ``now`` is in seconds."""
        self._carry_out(self._node.handle_all(events, now))

    def take_pending_writes(self) -> list[Write]:
        """Return what to write next; empty if nothing is to be written."""
        if not self._writing:
            self._writing, self._queued = self._queued, []
        return [persist.write for persist in self._writing]

    def on_write_finished(self, outcome: WriteOutcome, now: float) -> None:
        """Take the outcome of the last writes. After ``DISK_FULL`` they are to be tried again.

        The host waits a while before the next try.
        """
        if outcome is WriteOutcome.DISK_FULL:
            self._queued = [*self._writing, *self._queued]
            self._writing = []
            if not self._disk_full:
                self._disk_full = True
                self.handle([DiskFull()], now)
            return
        ticket = self._writing[-1].ticket
        self._writing = []
        events: list[Event] = [WritePersisted(ticket)]
        if self._disk_full:
            self._disk_full = False
            events.append(DiskSpaceAvailable())
        self.handle(events, now)

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendEnvelope():
                    self._host.send(effect.address, effect.envelope)
                case PersistWrite():
                    self._queued.append(effect)
                case Apply():
                    self._host.apply(effect.index, effect.data)
                case RestoreSnapshot():
                    self._host.restore(effect.index, effect.data)
                case SnapshotRequested():
                    self._take_snapshot(effect.index)
                case _:
                    self._host.report(effect)

    def _take_snapshot(self, index: int) -> None:
        taken = SnapshotTaken(index, self._host.snapshot())
        self._carry_out(self._node.handle_all([taken], self._node.last_now))
