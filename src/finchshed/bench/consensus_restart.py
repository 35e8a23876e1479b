"""How long a control node takes to come back, by the number of changes made before.

Owns a node with its data folder, driven on a clock of its own; relies on the disk of that folder.
"""

import random
import statistics
import time
from pathlib import Path

import msgspec

from finchshed.bench.consensus_group import first_change, later_changes
from finchshed.common.errors import InvariantError
from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.effects import Effect
from finchshed.consensus.events import Event, Propose, Tick
from finchshed.consensus.membership import InitialMember
from finchshed.consensus.messages import Envelope
from finchshed.consensus.node import RaftNode
from finchshed.consensus.options import RaftOptions
from finchshed.control.state.machine import ControlStateMachine
from finchshed.storage.folder import DataFolder
from finchshed.storage.log_store import open_store

_NAME = "only"
_BATCH = 256
"""Changes proposed at once while the log is filled."""

_TICK_SECONDS = 0.1
"""Step of the node's own clock."""

_MOST_TICKS = 200
"""A node that leads only after more steps is a fault of the measurement."""

_NEVER = 1 << 40
"""More entries and bytes than a measurement writes: no snapshot is taken."""


class RestartPoint(msgspec.Struct, frozen=True, tag="restart"):
    """One number of changes.

    Attributes
    ----------
    seconds
        From opening the folder until the whole state is applied; median of the restarts. The wait
        for an election, 1 to 2 s, is not in it.
    replayed
        Entries read from the journal.
    snapshot_bytes
        Size of the state in the snapshot; 0 without one.
    """

    changes: int
    seconds: float
    journal_bytes: int
    replayed: int
    snapshot_bytes: int


class _Node:
    """The only voter of a group, on a folder, on a clock of its own."""

    def __init__(self, path: Path, options: RaftOptions) -> None:
        self.folder = DataFolder(path)
        rng = random.Random(1)
        opened = open_store(self.folder, rng)
        self.stored = opened.stored
        self.store = opened.store
        self.machine = ControlStateMachine()
        raft = RaftNode(
            _NAME,
            "only:1",
            opened.stored,
            rng=rng,
            initial_members=(InitialMember(_NAME, "only:1"),),
            now=0.0,
            options=options,
        )
        self.now = 0.0
        self.runner = EffectRunner(raft, self)
        self.runner.start(0.0)

    def send(self, _address: str, _envelope: Envelope) -> None:
        """Send nothing: there is no other node."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command."""
        self.machine.apply(index, data)

    def restore(self, _index: int, data: bytes) -> None:
        """Replace the state by a snapshot's."""
        self.machine.restore(data)

    def snapshot(self) -> bytes:
        """Return the state."""
        return self.machine.snapshot()

    def report(self, effect: Effect) -> None:
        """Take no note of other effects."""

    def handle(self, events: list[Event]) -> None:
        """Take events and write what they ask for."""
        self.runner.handle(events, self.now)
        while self.runner.has_pending_writes:
            outcome = self.store.write(self.runner.take_pending_writes())
            self.runner.on_write_finished(outcome, self.now)

    def lead(self) -> None:
        """Wait, on the own clock, until the node leads and all that is stored is applied."""
        for _ in range(_MOST_TICKS):
            self.now += _TICK_SECONDS
            self.handle([Tick()])
            raft = self.runner.node
            if raft.last_index and raft.commit_index == raft.last_index:
                return
        raise InvariantError("the only voter does not lead")


def measure_restart(path: Path, changes: int, with_snapshots: bool, restarts: int) -> RestartPoint:
    """Make changes, and measure restarts after them."""
    options = RaftOptions()
    if not with_snapshots:
        options = RaftOptions(snapshot_every_entries=_NEVER, snapshot_every_bytes=_NEVER)
    _make_changes(path, changes, options)
    taken = []
    for _ in range(restarts):
        began = time.perf_counter()
        node = _Node(path, options)
        node.lead()
        taken.append(time.perf_counter() - began)
        node.folder.close()
        if node.machine.store.revision != changes:
            raise InvariantError(f"revision {node.machine.store.revision} of {changes} came back")
    snapshot = node.stored.snapshot
    return RestartPoint(
        changes=changes,
        seconds=statistics.median(taken),
        journal_bytes=node.store.journal_bytes,
        replayed=len(node.stored.entries),
        snapshot_bytes=len(snapshot.data) if snapshot is not None else 0,
    )


def _make_changes(path: Path, changes: int, options: RaftOptions) -> None:
    node = _Node(path, options)
    node.lead()
    batch: list[Event] = [Propose(0, first_change())]
    for token, data in enumerate(later_changes(changes - 1), start=1):
        batch.append(Propose(token, data))
        if len(batch) == _BATCH:
            node.handle(batch)
            batch = []
    node.handle(batch)
    node.folder.close()
