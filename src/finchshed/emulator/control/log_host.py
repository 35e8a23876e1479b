"""Host of a node of the replicated log: simulated disk, timers and messages.

Counterpart of :mod:`finchshed.control.raft.host`. The node, its runner, its storage and its state
machine are the production classes; a crash loses writes that were not synced.
"""

import random
from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from finchshed.common.errors import CorruptRecordError
from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.effects import (
    CommitOutcomeUnknown,
    Committed,
    Effect,
    RaftRole,
    ReadFailed,
    ReadReady,
    RequestRefused,
)
from finchshed.consensus.events import (
    Event,
    MessageReceived,
    Propose,
    Read,
    Tick,
    TransferLeadership,
)
from finchshed.consensus.membership import InitialMember
from finchshed.consensus.messages import Envelope
from finchshed.consensus.node import RaftNode
from finchshed.consensus.step_timer import StepTimer
from finchshed.control.state.commands import Command, CommandResult, LogEntry, encode_entry
from finchshed.control.state.machine import ControlStateMachine
from finchshed.emulator.daemons.process import Process
from finchshed.emulator.plain_control import EPOCH_UNIX_SECONDS
from finchshed.storage.log_store import (
    OpenedStore,
    WriteOutcome,
    open_store,
    set_aside_damaged_files,
)
from finchshed.storage.records import Write
from finchshed.storage.simulated_disk import SimulatedDisk

SYNC_SECONDS: Final = 0.002
"""Mean duration of a synced write."""

DISK_RETRY_SECONDS: Final = 0.5
"""Delay before retrying a write to a full disk."""
WRITE_SURVIVAL_PROBABILITY: Final = 0.5
"""Probability that a write in progress at a crash reaches the disk."""

OnResult: TypeAlias = Callable[[CommandResult | None], None]
"""Callback that receives the committed result, or None if the proposal failed."""

OnRead: TypeAlias = Callable[[bool], None]


class MessageTransport(Protocol):
    """Transport of messages between the nodes of the group."""

    def send_envelope(self, source: Process, address: str, envelope: Envelope) -> None:
        """Send a message to the node at ``address``."""


class LogHost:
    """Runs a node of the replicated log, for one generation of its process.

    Parameters
    ----------
    process
        The control process, whose callbacks end with its generation.
    address
        Address of this node in the group.
    voters
        The initial voters of the group.
    """

    def __init__(
        self,
        process: Process,
        address: str,
        voters: tuple[InitialMember, ...],
        *,
        disk: SimulatedDisk,
        machine: ControlStateMachine,
        transport: MessageTransport,
        rng: random.Random,
        may_form: bool,
    ) -> None:
        self._process = process
        self._machine = machine
        self._transport = transport
        self._rng = rng
        opened = _open_or_reset_store(disk, rng)
        self._store = opened.store
        self.node = RaftNode(
            process.name,
            address,
            opened.stored,
            rng=rng,
            initial_members=voters,
            now=process.now,
            may_form=may_form,
        )
        self._runner = EffectRunner(self.node, self)
        self._events: list[Event] = []
        self._last_applied: tuple[int, CommandResult | None] = (0, None)
        self._last_token = 0
        self._proposals: dict[int, OnResult] = {}
        self._reads: dict[int, OnRead] = {}
        self._timer = StepTimer(self.node, process.call_later, self._on_timer)
        self._writing: list[Write] = []

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader."""
        return self.node.role is RaftRole.LEADER

    def start(self) -> None:
        """Replay the stored log into the state machine and join the group."""
        self._runner.start(self._process.now)
        self._after_step()

    def propose(self, command: Command, done: OnResult) -> None:
        """Propose a command; this node must be the leader for it to succeed."""
        self._last_token += 1
        self._proposals[self._last_token] = done
        entry = LogEntry(EPOCH_UNIX_SECONDS + self._process.now, command)
        self._enqueue(Propose(self._last_token, encode_entry(entry)))

    def read(self, done: OnRead) -> None:
        """Confirm with a quorum that the applied state is current."""
        self._last_token += 1
        self._reads[self._last_token] = done
        self._enqueue(Read(self._last_token))

    def receive(self, envelope: Envelope) -> None:
        """Handle a message from another node."""
        self._enqueue(MessageReceived(envelope))

    def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter."""
        self._enqueue(TransferLeadership())

    def crash(self) -> None:
        """Complete or lose a write in progress, at random."""
        if self._writing and self._rng.random() < WRITE_SURVIVAL_PROBABILITY:
            self._store.write(self._writing)

    # Callbacks of the effect runner.

    def send(self, address: str, envelope: Envelope) -> None:
        """Send a message to another node."""
        self._transport.send_envelope(self._process, address, envelope)

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry."""
        self._last_applied = (index, self._machine.apply(index, data))

    def restore(self, index: int, data: bytes) -> None:
        """Restore the state from a snapshot."""
        self._machine.restore(data)

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return self._machine.snapshot()

    def report(self, effect: Effect) -> None:
        """Complete a proposal or read with its outcome."""
        match effect:
            case Committed():
                index, result = self._last_applied
                self._resolve(effect.token, result if index == effect.index else None)
            case CommitOutcomeUnknown() | RequestRefused():
                self._resolve(effect.token, None)
                self._resolve_read(effect.token, False)
            case ReadReady():
                self._resolve_read(effect.token, True)
            case ReadFailed():
                self._resolve_read(effect.token, False)

    def _resolve(self, token: int, result: CommandResult | None) -> None:
        done = self._proposals.pop(token, None)
        if done is not None:
            done(result)

    def _resolve_read(self, token: int, confirmed: bool) -> None:
        done = self._reads.pop(token, None)
        if done is not None:
            done(confirmed)

    def _enqueue(self, event: Event) -> None:
        """Queue an event; all events at the same simulated time are handled in one batch."""
        self._events.append(event)
        if len(self._events) == 1:
            self._process.call_later(0.0, self._flush)

    def _flush(self) -> None:
        events, self._events = self._events, []
        self._step(events)

    def _step(self, events: list[Event]) -> None:
        self._runner.handle(events, self._process.now)
        self._after_step()

    def _after_step(self) -> None:
        if self._runner.has_pending_writes:
            self._writing = self._runner.take_pending_writes()
            seconds = SYNC_SECONDS * (0.5 + self._rng.random())
            self._process.call_later(seconds, self._write)
        self._timer.rearm()

    def _on_timer(self) -> None:
        self._step([Tick()])

    def _write(self) -> None:
        outcome = self._store.write(self._writing)
        self._writing = []
        if outcome is WriteOutcome.DISK_FULL:
            self._process.call_later(DISK_RETRY_SECONDS, self._written, outcome)
            return
        self._written(outcome)

    def _written(self, outcome: WriteOutcome) -> None:
        self._runner.on_write_finished(outcome, self._process.now)
        self._after_step()


def _open_or_reset_store(disk: SimulatedDisk, rng: random.Random) -> OpenedStore:
    try:
        return open_store(disk, rng)
    except CorruptRecordError:
        set_aside_damaged_files(disk)
        return open_store(disk, rng)
