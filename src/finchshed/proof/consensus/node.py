"""A simulated control node: production code on a simulated disk, clock and network.

Owns the machine's disk and clock over the lives of its process. Every decision is the production
``RaftNode``'s; the register stands in for the state machine.
"""

import random
from collections.abc import Callable

import msgspec
import simpy

from finchshed.common.errors import InvariantError, StorageError
from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.effects import Effect, RaftRole, RoleChanged
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
from finchshed.proof.consensus.inbox import Inbox
from finchshed.proof.consensus.network import SimulatedNetwork
from finchshed.proof.consensus.observer import Observer
from finchshed.proof.consensus.process import SimulatedProcess
from finchshed.proof.consensus.register import Change, ChangeResult, Register
from finchshed.proof.consensus.requests import WaitingRequests
from finchshed.proof.consensus.scheduler import Scheduler
from finchshed.proof.consensus.simulated_disk import open_with_damage, write_seconds
from finchshed.storage.log_store import LogStore, WriteOutcome
from finchshed.storage.simulated_disk import SimulatedDisk

_DISK_RETRY_SECONDS = 0.5
"""Wait before a full disk is tried again."""
_START_RETRY_SECONDS = 1.0
"""Wait before a start that failed at the disk is tried again."""
_MOST_OPERATIONS_OF_A_WRITE = 12
"""Operations on the disk after which a crash cuts a write, at most."""


class SimulatedNode:
    """One node; implements :class:`~finchshed.consensus.effect_runner.Host`.

    Attributes
    ----------
    key
        Names the machine. Two machines may carry the same ``name``, when one replaces the other.
    disk
        Outlives crashes of the node.
    clock_offset, clock_rate
        The node's own clock shows ``offset + rate * simulated time``.
    disk_slowness
        Times as long as usual that a write takes.
    zone
        Zone of the machine, told to the group.
    """

    def __init__(
        self,
        key: str,
        name: str,
        initial_members: tuple[InitialMember, ...],
        *,
        options: RaftOptions,
        scheduler: Scheduler,
        network: SimulatedNetwork,
        observer: Observer,
        rng: random.Random,
        zone: str = "",
    ) -> None:
        self.key = key
        self.name = name
        self.address = address_of(key)
        self.disk = SimulatedDisk(random.Random(rng.getrandbits(64)))
        self.clock_offset = rng.uniform(0.0, 1e6)
        self.clock_rate = 1.0
        self.disk_slowness = 1.0
        self.register = Register()
        self.zone = zone
        self._doomed: bool | None = None
        self._initial_members = initial_members
        self._options = options
        self._scheduler = scheduler
        self._network = network
        self._observer = observer
        self._rng = rng
        self._process = SimulatedProcess(scheduler, rng)
        self._requests = WaitingRequests(scheduler)
        self._inbox = Inbox(self._process, rng, self._step)
        self._last_result: tuple[int, ChangeResult | None] = (0, None)
        self._store: LogStore
        self._runner: EffectRunner
        self._timer: StepTimer
        network.attach(key, self.address, self._deliver)

    @property
    def raft(self) -> RaftNode:
        """The production node. Meaningful while running."""
        return self._runner.node

    @property
    def is_running(self) -> bool:
        """Whether the process runs, frozen or not."""
        return self._process.is_running

    @property
    def is_leader(self) -> bool:
        """Whether the node runs and takes itself for the leader."""
        return self.is_running and self.raft.role is RaftRole.LEADER

    def start(self) -> None:
        """Start the process from what the disk holds."""
        if self.is_running:
            return
        try:
            opened = open_with_damage(self.disk, self._rng, self._observer)
        except StorageError:
            self._observer.count("start_failed")
            self._scheduler.call_later(_START_RETRY_SECONDS, self.start)
            return
        self._inbox.clear()
        self._requests.forget()
        self._store = opened.store
        self.register = Register()
        raft = RaftNode(
            self.name,
            self.address,
            opened.stored,
            rng=random.Random(self._rng.getrandbits(64)),
            initial_members=self._initial_members,
            now=self._host_now(),
            options=self._options,
            zone=self.zone,
        )
        self._runner = EffectRunner(raft, self)
        self._timer = StepTimer(raft, self._arm_timer, self._tick)
        self._process.begin()
        self._observer.started(self)
        self._guarded(lambda: self._runner.start(self._host_now()))

    def crash(self, power_lost: bool) -> None:
        """Stop at once, perhaps in the middle of a write.

        Parameters
        ----------
        power_lost
            Whether what was not synced is lost or torn; else the operating system keeps it.
        """
        self._doomed = None
        if not self.is_running:
            return
        writes = self._runner.running_writes or self._runner.take_pending_writes()
        if writes:
            self.disk.crash_after(self._rng.randrange(_MOST_OPERATIONS_OF_A_WRITE))
            try:
                self._store.write(writes)
            except StorageError:
                self._observer.count("write_cut_short")
            self._observer.count("crash_in_write")
        self._end_process()
        if power_lost:
            self.disk.lose_power()

    def crash_in_next_write(self, power_lost: bool) -> None:
        """Crash while the next write is under way."""
        self._doomed = power_lost

    def lose_disk(self) -> None:
        """Stop at once, and find an empty disk at the next start."""
        self._end_process()
        self.disk.lose_data()

    def freeze(self) -> None:
        """Stop as by SIGSTOP: no timer, no message, no end of a write is noticed."""
        self._process.freeze()

    def thaw(self) -> None:
        """Go on as by SIGCONT: due timers and all that arrived are noticed, in any order."""
        self._process.thaw(self._tick)

    def propose(self, change: Change) -> simpy.Event:
        """Ask for a change; the event gives an ``Answer``, or never happens."""
        data = msgspec.json.encode(change)
        return self._submit(lambda token: Propose(token, data))

    def read(self) -> simpy.Event:
        """Ask for a linearizable read; the event gives an ``Answer``, or never happens."""
        return self._submit(Read)

    def change_membership(self, change: MembershipChange) -> simpy.Event:
        """Ask for a change of members; the event gives an ``Answer``, or never happens."""
        return self._submit(lambda token: ChangeMembership(token, change))

    def transfer_leadership(self) -> None:
        """Hand leadership over, if this node leads."""
        if self.is_running:
            self._inbox.add(TransferLeadership())

    def send(self, address: str, envelope: Envelope) -> None:
        """Send a line."""
        self._network.send(self.key, address, envelope)

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command."""
        self._observer.applying(self, index, self.register.applied_index)
        self._last_result = (index, self.register.apply(index, data))

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot's."""
        self._observer.applying(self, index, self.register.applied_index)
        self.register.restore(index, data)

    def snapshot(self) -> bytes:
        """Return the state."""
        self._observer.count("snapshot")
        return self.register.snapshot()

    def report(self, effect: Effect) -> None:
        """Answer whoever waits, and tell the observer of changes of role."""
        if isinstance(effect, RoleChanged):
            if effect.role is RaftRole.LEADER:
                self._observer.elected(self, effect.term)
        else:
            self._requests.report(effect, self.register, self._last_result)

    def _end_process(self) -> None:
        self._process.end()
        self.disk.restart()

    def _host_now(self) -> float:
        return self.clock_offset + self.clock_rate * self._scheduler.now

    def _submit(self, make_event: Callable[[int], Event]) -> simpy.Event:
        token, answer = self._requests.add()
        if self.is_running:
            self._inbox.add(make_event(token))
        return answer

    def _deliver(self, envelope: Envelope) -> None:
        if self.is_running:
            self._inbox.add(MessageReceived(envelope))

    def _tick(self) -> None:
        self._step([Tick()])

    def _step(self, events: list[Event]) -> None:
        self._guarded(lambda: self._runner.handle(events, self._host_now()))

    def _guarded(self, action: Callable[[], None]) -> None:
        """Take a step of the runner; a broken invariant ends the process and the proof."""
        try:
            action()
        except InvariantError as error:
            self._observer.violated(f"{self.key}: broken invariant: {error}")
            self._end_process()
            return
        self._observer.stepped(self)
        self._plan_next()

    def _plan_next(self) -> None:
        if self._runner.has_pending_writes:
            self._runner.take_pending_writes()
            delay = write_seconds(self._rng, self.disk_slowness)
            self._process.later(delay, self._finish_write)
            if self._doomed is not None:
                power_lost = self._doomed
                crash_after = self._rng.uniform(0.0, delay)
                self._process.later(crash_after, lambda: self.crash(power_lost))
        self._timer.rearm()

    def _arm_timer(self, delay: float, action: Callable[[], None]) -> None:
        self._process.later(delay / self.clock_rate, action)

    def _finish_write(self) -> None:
        outcome = self._store.write(self._runner.running_writes)
        if outcome is WriteOutcome.DURABLE:
            self._guarded(lambda: self._runner.on_write_finished(outcome, self._host_now()))
            return
        self._observer.count("disk_full")
        self._process.later(
            _DISK_RETRY_SECONDS,
            lambda: self._guarded(
                lambda: self._runner.on_write_finished(outcome, self._host_now())
            ),
        )


def address_of(key: str) -> str:
    """Return where a simulated machine is reached."""
    return f"{key}:1"
