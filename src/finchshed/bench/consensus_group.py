"""A control group in one process without disks, to measure its leader's processor time.

Owns the log entries that the measurements of the log write; relies on the pure node of consensus.
"""

import random
import time
from collections.abc import Iterator

import msgspec

from finchshed.configuration.changes import Change
from finchshed.configuration.resources import Endpoint, Operator, Service
from finchshed.consensus.effect_runner import EffectRunner
from finchshed.consensus.effects import Effect, RaftRole
from finchshed.consensus.events import Event, MessageReceived, Propose, Tick
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import (
    InitialMember,
    Member,
    MemberRole,
    Membership,
    encode_membership,
)
from finchshed.consensus.messages import Envelope
from finchshed.consensus.node import RaftNode
from finchshed.control.state.commands import ApplyChange, LogEntry, encode_entry
from finchshed.storage.log_store import WriteOutcome
from finchshed.storage.records import Entry, EntryKind, StoredState, Vote

SERVICES = 52
"""Services of the design size (docs/CAPACITY.md)."""

ENDPOINTS = 1_100
"""Back ends of the size to design for; a configuration declares them and their services."""

_TIME = 1_800_000_000.0
"""Wall-clock time of every entry, Unix seconds; nothing measured rests on it."""

_OPERATOR = Operator(name="ana", token_sha256="a" * 64)
_TICK_SECONDS = 0.05
"""Step of the group's own clock."""

_MOST_TICKS = 200
"""An election that takes longer than so many steps is a fault of the measurement."""


def first_change(endpoints: int = ENDPOINTS) -> bytes:
    """Return the log entry that declares the configuration, revision 1."""
    services = tuple(Service(name=f"service-{number}") for number in range(SERVICES))
    declared = tuple(
        Endpoint(
            name=f"endpoint-{number}",
            service=f"service-{number % SERVICES}",
            region="region-1",
            zone=f"zone-{number % 7}",
            address=f"10.0.{number // 250}.{number % 250 + 1}:7000",
            slots=10,
        )
        for number in range(endpoints)
    )
    change = Change("change-1", "bootstrap", 0, (_OPERATOR, *services, *declared))
    return _entry_of(1, change)


def later_changes(count: int, first: int = 2) -> Iterator[bytes]:
    """Yield log entries that each change one service, from the revision ``first`` on."""
    for number in range(first, first + count):
        service = Service(name=f"service-{number % SERVICES}", max_sessions=number)
        change = Change(f"change-{number}", _OPERATOR.name, number - 1, (service,))
        yield _entry_of(number, change)


def _entry_of(number: int, change: Change) -> bytes:
    return encode_entry(LogEntry(_TIME + number, ApplyChange(change)))


def founding_entry(names: tuple[str, ...]) -> Entry:
    """Return a first entry that makes these nodes the voters."""
    members = tuple(
        Member(NodeIdentity(name, name), f"{name}:1", MemberRole.VOTER) for name in sorted(names)
    )
    return Entry(1, 1, EntryKind.MEMBERSHIP, encode_membership(Membership(members)))


class MemoryNode:
    """A production node with its runner; writes are durable at once and nothing is applied.

    Attributes
    ----------
    outbox
        Lines to other nodes, with the address they go to.
    """

    def __init__(self, name: str, names: tuple[str, ...], seed: int) -> None:
        stored = StoredState(name, Vote(1), None, [founding_entry(names)])
        initial = tuple(InitialMember(other, f"{other}:1") for other in names)
        self.outbox: list[tuple[str, bytes]] = []
        raft = RaftNode(
            name,
            f"{name}:1",
            stored,
            rng=random.Random(seed),
            initial_members=initial,
            now=0.0,
        )
        self.runner = EffectRunner(raft, self)
        self.runner.start(0.0)

    def send(self, address: str, envelope: Envelope) -> None:
        """Encode a line, as the link does."""
        self.outbox.append((address, msgspec.json.encode(envelope)))

    def apply(self, _index: int, _data: bytes) -> None:
        """Leave the command alone: its cost is measured apart."""

    def restore(self, _index: int, _data: bytes) -> None:
        """Leave the state alone."""

    def snapshot(self) -> bytes:
        """Return an empty state."""
        return b""

    def report(self, effect: Effect) -> None:
        """Take no note of other effects."""

    def handle(self, events: list[Event], now: float) -> None:
        """Take events; writes end at once."""
        self.runner.handle(events, now)
        while self.runner.has_pending_writes:
            self.runner.take_pending_writes()
            self.runner.on_write_finished(WriteOutcome.DURABLE, now)


class LeaderMeter:
    """Three nodes, one of which leads, and the processor time it spends."""

    def __init__(self) -> None:
        names = ("a", "b", "c")
        self._nodes = {
            f"{name}:1": MemoryNode(name, names, seed) for seed, name in enumerate(names)
        }
        self._decoder = msgspec.json.Decoder(Envelope)
        self._now = 0.0
        self._spent = 0.0
        self._leader = self._elect()

    def seconds_for(self, changes: list[bytes]) -> float:
        """Return the leader's processor time until all changes are committed, seconds."""
        self._spent = 0.0
        events: list[Event] = [Propose(token, data) for token, data in enumerate(changes)]
        self._give(self._leader, events)
        self._exchange()
        return self._spent

    def _elect(self) -> MemoryNode:
        for _ in range(_MOST_TICKS):
            self._now += _TICK_SECONDS
            for node in self._nodes.values():
                node.handle([Tick()], self._now)
            self._exchange()
            for node in self._nodes.values():
                if node.runner.node.role is RaftRole.LEADER:
                    return node
        raise RuntimeError("no leader in time")

    def _exchange(self) -> None:
        """Carry lines to and fro until there are none."""
        while any(node.outbox for node in self._nodes.values()):
            for node in self._nodes.values():
                lines, node.outbox = node.outbox, []
                for address, line in lines:
                    self._carry(self._nodes[address], line)

    def _carry(self, node: MemoryNode, line: bytes) -> None:
        began = time.thread_time()
        events: list[Event] = [MessageReceived(self._decoder.decode(line))]
        node.handle(events, self._now)
        self._count(node, began)

    def _give(self, node: MemoryNode, events: list[Event]) -> None:
        began = time.thread_time()
        node.handle(events, self._now)
        self._count(node, began)

    def _count(self, node: MemoryNode, began: float) -> None:
        if node is getattr(self, "_leader", None):
            self._spent += time.thread_time() - began
