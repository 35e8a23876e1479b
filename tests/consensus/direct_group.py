"""Raft nodes that exchange messages and finish writes at once, in time set by the test."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from finchshed.consensus.effects import (
    Effect,
    PersistWrite,
    RaftRole,
    SendEnvelope,
    SnapshotRequested,
)
from finchshed.consensus.events import (
    Event,
    MessageReceived,
    SnapshotTaken,
    Tick,
    WritePersisted,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import InitialMember
from finchshed.consensus.node import RaftNode
from finchshed.consensus.options import RaftOptions
from finchshed.storage.records import StoredState, Vote

NAMES = ("a", "b", "c")
FORMATION_STEP_SECONDS = 0.05
FORMATION_SECONDS = 10.0


@dataclass
class DirectGroup:
    """Nodes by name. Messages to or from a name in ``cut_off`` are dropped.

    The writes of a name in ``stalled`` don't end. A snapshot is taken whenever a node asks for one.

    Attributes
    ----------
    reports
        All other effects of the nodes, in order, by name.
    stepped_at
        Time of the last step of each node.
    """

    options: RaftOptions = field(default_factory=RaftOptions)
    now: float = 0.0
    nodes: dict[str, RaftNode] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    stalled: set[str] = field(default_factory=set)
    reports: dict[str, list[Effect]] = field(default_factory=dict)
    stepped_at: dict[str, float] = field(default_factory=dict)
    lost_disks: int = 0

    @classmethod
    def formed(cls, options: RaftOptions | None = None) -> "DirectGroup":
        """Return a group of three that has a leader with a committed entry of its term."""
        group = cls(options or RaftOptions())
        for name in NAMES:
            group.start(name, f"disk of {name}")
        while group.now < FORMATION_SECONDS:
            group.now += FORMATION_STEP_SECONDS
            group.tick_all()
            leaders = [node for node in group.nodes.values() if node.role is RaftRole.LEADER]
            if leaders and leaders[0].commit_index == leaders[0].last_index:
                return group
        raise AssertionError("the group was not formed")

    def start(self, name: str, incarnation: str, *, may_form: bool = True) -> None:
        """Start a node on an empty disk."""
        self.nodes[name] = RaftNode(
            name,
            f"{name}:1",
            StoredState(incarnation, Vote(), None, []),
            rng=random.Random(incarnation),
            initial_members=tuple(InitialMember(other, f"{other}:1") for other in NAMES),
            now=self.now,
            options=self.options,
            may_form=may_form,
        )
        self.reports[name] = []
        self._carry_out(name, self.nodes[name].start(self.now))

    def lose_disk(self, name: str) -> None:
        """Start a node again on an empty disk, as a new incarnation."""
        self.lost_disks += 1
        self.start(name, f"disk {self.lost_disks} of {name}", may_form=False)

    @property
    def leader(self) -> RaftNode:
        """The leader of the highest term."""
        leaders = [node for node in self.nodes.values() if node.role is RaftRole.LEADER]
        return max(leaders, key=lambda node: node.term)

    @property
    def followers(self) -> list[str]:
        """Names of the other nodes."""
        return [name for name in self.nodes if name != self.leader.identity.name]

    def is_voter(self, identity: NodeIdentity) -> bool:
        """Whether the leader's membership lists a node as a voter."""
        return identity in self.leader.membership.voters

    def step(self, name: str, events: Sequence[Event]) -> None:
        """Give events to a node, and carry all that follows from it to an end."""
        self._carry_out(name, self.nodes[name].handle_all(events, self.now))

    def tick_all(self) -> None:
        """Tick every node, whether or not its timer is due."""
        for name in self.nodes:
            self.step(name, [Tick()])

    def run_due_timers(self) -> None:
        """Tick each node whose last step was :meth:`RaftNode.next_delay` ago or longer.

        The host modelled arms its timer anew after each step, as late as a host may.
        """
        for name, node in self.nodes.items():
            if self.now >= self.stepped_at[name] + node.next_delay():
                self.step(name, [Tick()])

    def _carry_out(self, name: str, effects: list[Effect]) -> None:
        self.stepped_at[name] = self.now
        for effect in effects:
            match effect:
                case SendEnvelope():
                    self._deliver(name, effect)
                case PersistWrite():
                    if name not in self.stalled:
                        self.step(name, [WritePersisted(effect.ticket)])
                case SnapshotRequested():
                    self.step(name, [SnapshotTaken(effect.index, b"state")])
                case _:
                    self.reports[name].append(effect)

    def _deliver(self, sender: str, effect: SendEnvelope) -> None:
        receiver = effect.address.partition(":")[0]
        if not self.cut_off & {sender, receiver} and receiver in self.nodes:
            self.step(receiver, [MessageReceived(effect.envelope)])
