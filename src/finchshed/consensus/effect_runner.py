"""Executes the effects of a node; shared by production and simulation.

The host owns sockets, the clock and the writer thread. It passes events to
:meth:`EffectRunner.handle` and runs one write at a time: :meth:`EffectRunner.take_pending_writes`,
then :meth:`~finchshed.storage.log_store.LogStore.write` where blocking is allowed, then
:meth:`EffectRunner.on_write_finished`. Writes requested while one is running are batched into the
next sync.
"""

from collections.abc import Sequence
from typing import Protocol

from finchshed.common.errors import InvariantError
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
    """Callbacks that a host provides to its :class:`EffectRunner`."""

    def send(self, address: str, envelope: Envelope) -> None:
        """Send a message to ``address``; delivery is best effort."""
        ...

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command to the application."""
        ...

    def restore(self, index: int, data: bytes) -> None:
        """Replace the application state with that of a snapshot."""
        ...

    def snapshot(self) -> bytes:
        """Return the application state after the last applied command."""
        ...

    def report(self, effect: Effect) -> None:
        """Handle any other effect: results of proposals and reads, role changes."""
        ...


class EffectRunner:
    """Connects a node to its storage and its host."""

    def __init__(self, node: RaftNode, host: Host) -> None:
        self._node = node
        self._host = host
        self._queued: list[PersistWrite] = []
        self._writing: list[PersistWrite] = []
        self._disk_full = False

    @property
    def node(self) -> RaftNode:
        """The node whose effects are executed."""
        return self._node

    @property
    def has_pending_writes(self) -> bool:
        """Whether writes are queued and none is running."""
        return bool(self._queued) and not self._writing

    @property
    def running_writes(self) -> list[Write]:
        """The batch that was taken and hasn't finished."""
        return [persist.write for persist in self._writing]

    def start(self, now: float) -> None:
        """Start the node and restore the application from the stored snapshot."""
        self._carry_out(self._node.start(now))

    def handle(self, events: Sequence[Event], now: float) -> None:
        """Pass ``events`` to the node and execute the effects. ``now`` is in seconds."""
        self._carry_out(self._node.handle_all(events, now))

    def take_pending_writes(self) -> list[Write]:
        """Return the next batch to write; no other one may be running.

        Raises
        ------
        InvariantError
            A batch is running: its end would be taken for the end of this one.
        """
        if self._writing:
            raise InvariantError("a write was started while another one was running")
        self._writing, self._queued = self._queued, []
        return self.running_writes

    def on_write_finished(self, outcome: WriteOutcome, now: float) -> None:
        """Handle the outcome of the last batch.

        After ``DISK_FULL`` the batch is queued again; the host delays the retry.
        """
        if outcome is WriteOutcome.DISK_FULL:
            self._queued = _without_superseded([*self._writing, *self._queued])
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
                    self._queued = _without_superseded([*self._queued, effect])
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


def _without_superseded(writes: list[PersistWrite]) -> list[PersistWrite]:
    """Return ``writes`` from the last snapshot on, which replaces all that is stored before it.

    While the disk is slow or full, this bounds what waits for it.
    """
    for position in range(len(writes) - 1, 0, -1):
        if writes[position].write.snapshot is not None:
            return writes[position:]
    return writes
