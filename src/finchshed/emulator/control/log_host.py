"""One generation of a node of the replicated log in the emulator: disk, timers and messages.

Counterpart of :mod:`finchshed.control.raft.host`. The node, its runner, its storage and its state
machine are the production classes; the disk forgets what was not synced.
"""

import math
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
"""Mean time of a write with its sync."""

DISK_RETRY_SECONDS: Final = 0.5
"""Wait before a full disk is tried again, seconds; chosen, not measured."""
CHANCE_OF_WRITE_BEFORE_CRASH: Final = 0.5
"""How often a write on its way at a crash still reaches the disk; chosen, not measured."""

OnResult: TypeAlias = Callable[[CommandResult | None], None]
"""Gets the committed result, or None if the proposal was refused or lost."""

OnRead: TypeAlias = Callable[[bool], None]


class Post(Protocol):
    """Carries messages between the nodes of the group."""

    def send_envelope(self, source: Process, address: str, envelope: Envelope) -> None:
        """Send a message to the node at ``address``."""


class LogHost:
    """Runs a node of the replicated log for one generation of its process.

    Parameters
    ----------
    process
        The control process; its callbacks end with its generation.
    address
        Where others reach the node.
    voters
        The voters the group is formed of.
    """

    def __init__(
        self,
        process: Process,
        address: str,
        voters: tuple[InitialMember, ...],
        *,
        disk: SimulatedDisk,
        machine: ControlStateMachine,
        post: Post,
        rng: random.Random,
        may_form: bool,
    ) -> None:
        self._process = process
        self._machine = machine
        self._post = post
        self._rng = rng
        opened = _open(disk, rng)
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
        self._tick_due = math.inf
        self._writing: list[Write] = []

    @property
    def is_leader(self) -> bool:
        """Whether this node leads."""
        return self.node.role is RaftRole.LEADER

    def start(self) -> None:
        """Bring the state machine to what the disk holds, and take part in the group."""
        self._runner.start(self._process.now)
        self._after_step()

    def propose(self, command: Command, done: OnResult) -> None:
        """Propose as the leader."""
        self._last_token += 1
        self._proposals[self._last_token] = done
        entry = LogEntry(EPOCH_UNIX_SECONDS + self._process.now, command)
        self._take(Propose(self._last_token, encode_entry(entry)))

    def read(self, done: OnRead) -> None:
        """Ask a quorum whether the state here is the latest."""
        self._last_token += 1
        self._reads[self._last_token] = done
        self._take(Read(self._last_token))

    def receive(self, envelope: Envelope) -> None:
        """Take a message of another node."""
        self._take(MessageReceived(envelope))

    def transfer_leadership(self) -> None:
        """Hand leadership over to the best voter."""
        self._take(TransferLeadership())

    def crash(self) -> None:
        """End: a write on its way reaches the disk or not."""
        if self._writing and self._rng.random() < CHANCE_OF_WRITE_BEFORE_CRASH:
            self._store.write(self._writing)

    # What the runner asks of its host.

    def send(self, address: str, envelope: Envelope) -> None:
        """Send a message to another node."""
        self._post.send_envelope(self._process, address, envelope)

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry."""
        self._last_applied = (index, self._machine.apply(index, data))

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot."""
        self._machine.restore(data)

    def snapshot(self) -> bytes:
        """Return the state."""
        return self._machine.snapshot()

    def report(self, effect: Effect) -> None:
        """Take the outcome of a proposal or read."""
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

    def _take(self, event: Event) -> None:
        """Gather the events of this instant; they are handled together."""
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
        due = self._process.now + self.node.next_delay()
        if due < self._tick_due:
            self._tick_due = due
            self._process.call_later(due - self._process.now, self._tick, due)

    def _tick(self, due: float) -> None:
        """Let time pass, unless an earlier tick took the place of this one."""
        if due == self._tick_due:
            self._tick_due = math.inf
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


def _open(disk: SimulatedDisk, rng: random.Random) -> OpenedStore:
    try:
        return open_store(disk, rng)
    except CorruptRecordError:
        set_aside_damaged_files(disk)
        return open_store(disk, rng)
