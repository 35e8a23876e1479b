"""Runs a Raft node on the event loop, with disk, clock and network.

Events received in one loop iteration are handled as a batch, so that their entries share one
message and one sync (group commit). Events received during a write join the next batch.

Owns the node, its timer and the pending requests. Relies on
:class:`~finchshed.control.raft.journal_writer.JournalWriter` for the disk and on
:class:`~finchshed.control.raft.node_links.ControlNodeLinks` for messages, which may be lost.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import TypeAlias

from loguru import logger

from finchshed.common.errors import InvariantError
from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.effects import (
    CommitOutcomeUnknown,
    Committed,
    Effect,
    MembershipChanged,
    PromotionBlocked,
    RaftRole,
    ReadFailed,
    ReadReady,
    RefusalCause,
    RequestRefused,
    RoleChanged,
)
from finchshed.consensus.events import (
    ChangeMembership,
    Event,
    MessageReceived,
    Propose,
    Read,
    Tick,
    TransferLeadership,
)
from finchshed.consensus.membership import InitialMember, MembershipChange
from finchshed.consensus.messages import Envelope
from finchshed.consensus.node import RaftNode
from finchshed.consensus.options import RaftOptions
from finchshed.consensus.step_timer import StepTimer
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft import metrics
from finchshed.control.raft.group_observer import GroupObserver
from finchshed.control.raft.journal_writer import JournalWriter
from finchshed.control.raft.node_links import ControlNodeLinks
from finchshed.control.raft.node_messages import RaftMessage
from finchshed.control.raft.pending_outcomes import (
    Outcome,
    OutcomeUnknownError,
    PendingOutcomes,
    RequestRejectedError,
)
from finchshed.control.raft.storage import open_durable_state, open_log_folder
from finchshed.control.state.commands import Command, CommandResult, LogEntry, encode_entry
from finchshed.control.state.machine import ControlStateMachine
from finchshed.runtime import clock
from finchshed.storage.records import Write

GAUGE_INTERVAL_SECONDS = 0.1
"""Interval between updates of the gauges, which are too costly to update at each step."""

EventFactory: TypeAlias = Callable[[int], Event]


class RaftHost:
    """Hosts one Raft node.

    Parameters
    ----------
    name, address
        This node's name, and the address at which other nodes reach it.
    voters
        Addresses of the initial voters, by name.
    data_folder
        Folder of the log.
    may_form
        Whether this node may bootstrap the group.
    zone
        Zone of this machine; voters are spread over zones.
    """

    def __init__(
        self,
        name: str,
        address: str,
        voters: dict[str, str],
        data_folder: str,
        *,
        options: RaftOptions,
        may_form: bool = True,
        zone: str = "",
        machine: ControlStateMachine,
        background: BackgroundTasks,
    ) -> None:
        rng = random.Random()
        self._machine = machine
        self._background = background
        self._folder = open_log_folder(data_folder)
        opened = open_durable_state(self._folder, rng)
        self._journal = JournalWriter(opened.store)
        self.node = RaftNode(
            name,
            address,
            opened.stored,
            rng=rng,
            initial_members=tuple(InitialMember(*voter) for voter in voters.items()),
            now=clock.now(),
            options=options,
            may_form=may_form,
            zone=zone,
        )
        self._runner = EffectRunner(self.node, self)
        self._links: ControlNodeLinks | None = None
        self._events: list[Event] = []
        self._flush_scheduled = False
        self._timer = StepTimer(self.node, self._arm_timer, self._on_timer)
        self._pending = PendingOutcomes()
        self._last_applied: tuple[int, CommandResult | None] = (0, None)
        self._observer = GroupObserver()
        self._is_stopped = False
        self._gauges_due = 0.0

    def start(self, links: ControlNodeLinks) -> None:
        """Restore the state machine from disk and join the group."""
        self._links = links
        started = clock.now()
        self._runner.start(clock.now())
        self._after_step()
        elapsed = clock.now() - started
        logger.info(
            "state restored to log index {} in {:.3f} s", self._machine.applied_index, elapsed
        )

    async def stop(self) -> None:
        """Finish pending writes and close the log folder."""
        self._is_stopped = True
        await self._journal.close()
        self._folder.close()

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader."""
        return self.node.role is RaftRole.LEADER

    @property
    def can_write(self) -> bool:
        """Whether the disk accepts writes: it isn't full and no write is stalled.

        A node that can't write still receives from its leader but applies nothing new.
        """
        return not (self.node.disk_full or self._journal.is_stalled)

    @property
    def journal_bytes(self) -> int:
        """Size of the journal file."""
        return self._journal.journal_bytes

    async def propose(self, command: Command) -> CommandResult:
        """Commit ``command`` as the leader and return its result.

        Raises
        ------
        RequestRejectedError
            The command had no effect.
        OutcomeUnknownError
            The command may still be committed.
        """
        data = encode_entry(LogEntry(time.time(), command))
        result = await self._submit(lambda token: Propose(token, data))
        if result is None:
            raise InvariantError("a committed command has no result")
        return result

    async def change_membership(self, change: MembershipChange) -> None:
        """Commit a membership change as the leader; raises the errors of :meth:`propose`."""
        await self._submit(lambda token: ChangeMembership(token, change))

    async def read(self) -> None:
        """Return once every entry committed before the call is applied here.

        Raises
        ------
        RequestRejectedError
            No quorum confirmed it in time.
        """
        await self._submit(Read)

    def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter."""
        self._post(TransferLeadership())

    def receive(self, envelope: Envelope) -> None:
        """Handle a Raft message from another node."""
        self._post(MessageReceived(envelope))

    async def wait_for_role_change(self, timeout_seconds: float) -> None:
        """Return when the role or known leader changes, or after the timeout."""
        await self._observer.wait_for_role_change(timeout_seconds)

    # Callbacks of the effect runner.

    def send(self, address: str, envelope: Envelope) -> None:
        """Send a Raft message to another node."""
        if self._links is not None:
            self._links.send(address, RaftMessage(envelope))

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry."""
        self._last_applied = (index, self._machine.apply(index, data))
        metrics.APPLIED_ENTRIES.inc()

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state with a snapshot."""
        self._machine.restore(data)
        logger.info("state replaced with the snapshot at log index {}", index)

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        started = clock.now()
        data = self._machine.snapshot()
        metrics.SNAPSHOT_SECONDS.observe(clock.now() - started)
        return data

    def report(self, effect: Effect) -> None:
        """Resolve the pending request of ``effect``, or record a role or membership change."""
        match effect:
            case Committed():
                self._pending.resolve(effect.token, self._result_of(effect.index))
            case ReadReady():
                self._pending.resolve(effect.token, None)
            case CommitOutcomeUnknown():
                self._pending.fail(
                    effect.token,
                    OutcomeUnknownError("leadership ended"),
                )
            case RequestRefused():
                self._pending.fail(effect.token, RequestRejectedError(effect.cause))
            case ReadFailed():
                self._pending.fail(effect.token, RequestRejectedError(RefusalCause.NOT_READY))
            case RoleChanged():
                self._observer.on_role_changed(effect)
            case MembershipChanged():
                self._observer.on_membership_changed(effect)
            case PromotionBlocked():
                self._observer.on_promotion_blocked(effect)

    def _submit(self, make_event: EventFactory) -> Outcome:
        token, outcome = self._pending.add()
        self._post(make_event(token))
        return outcome

    def _result_of(self, index: int) -> CommandResult | None:
        """Return the result of the last applied entry, or None if that isn't ``index``."""
        applied_index, result = self._last_applied
        return result if applied_index == index else None

    def _post(self, event: Event) -> None:
        if self._is_stopped:
            return
        self._events.append(event)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        events, self._events = self._events, []
        if not self._is_stopped:
            self._step(events)

    def _step(self, events: Sequence[Event]) -> None:
        try:
            self._runner.handle(events, clock.now())
        except InvariantError as error:
            self._background.report_broken_invariant(error)
            return
        self._after_step()

    def _after_step(self) -> None:
        if self._runner.has_pending_writes:
            # Taken here, since another step may follow before the task begins.
            self._background.spawn(self._write(self._runner.take_pending_writes()))
        self._timer.rearm()
        now = clock.now()
        if now >= self._gauges_due:
            self._gauges_due = now + GAUGE_INTERVAL_SECONDS
            metrics.update_gauges(self.node, self.journal_bytes)

    def _arm_timer(self, delay: float, action: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(delay, action)

    def _on_timer(self) -> None:
        if not self._is_stopped:
            self._step([Tick()])

    async def _write(self, writes: list[Write]) -> None:
        outcome = await self._journal.write(writes)
        if self._is_stopped:
            return
        try:
            self._runner.on_write_finished(outcome, clock.now())
        except InvariantError as error:
            self._background.report_broken_invariant(error)
            return
        self._after_step()
