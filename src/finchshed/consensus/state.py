"""State shared by the modules of a node, and its effects of one step.

Owns every field of a node; the other modules are functions on it. Relies on
:class:`~finchshed.consensus.write_buffer.WriteBuffer` for what waits for the disk.
"""

import random
from dataclasses import dataclass, field

from finchshed.common.errors import InvariantError
from finchshed.consensus.clock import SteadyClock
from finchshed.consensus.effects import Effect, RaftRole, RoleChanged, SendEnvelope
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.log import RaftLog
from finchshed.consensus.membership import InitialMember, Membership
from finchshed.consensus.messages import Envelope, Message
from finchshed.consensus.options import RaftOptions
from finchshed.consensus.progress import Progress
from finchshed.consensus.write_buffer import WriteBuffer
from finchshed.storage.records import Entry, Snapshot, Vote, Write

_MAX_HEARD_ADDRESSES = 64
"""Addresses kept of senders that no membership names: bounds the memory. Chosen, not measured."""


@dataclass
class PendingRead:
    """A read waiting for leadership to be confirmed; ``requester`` None: a local one."""

    token: int
    requester: NodeIdentity | None
    round: int
    index: int
    deadline: float


@dataclass
class Transfer:
    """A leadership transfer in progress."""

    target: NodeIdentity
    deadline: float
    sent: bool = False


@dataclass
class PendingChange:
    """A removal of a voter that waits until the voters that remain have answered ``round``."""

    token: int
    wanted: Membership
    round: int
    deadline: float


@dataclass
class Greeting:
    """A node that is no member and where it can be reached."""

    identity: NodeIdentity
    address: str
    formed: bool
    heard: float
    answers: str = ""
    zone: str = ""


@dataclass
class LeaderState:
    """What only a leader has. Ends with its leadership."""

    term_start_index: int
    progress: dict[NodeIdentity, Progress] = field(default_factory=dict)
    proposals: dict[int, int] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)
    round: int = 0
    heartbeat_due: float = 0.0
    quorum_check_due: float = 0.0
    transfer: Transfer | None = None
    pending_change: PendingChange | None = None


@dataclass
class IncomingSnapshot:
    """Pieces of a snapshot received so far."""

    index: int
    term: int
    buffer: bytearray = field(default_factory=bytearray)


@dataclass
class ForwardedRead:
    """A read sent on to the leader. ``index`` is known once confirmed."""

    token: int
    deadline: float
    index: int | None = None


@dataclass
class NodeState:
    """State of one node."""

    identity: NodeIdentity
    address: str
    options: RaftOptions
    rng: random.Random
    clock: SteadyClock
    log: RaftLog
    vote: Vote
    initial_members: tuple[InitialMember, ...]
    snapshot: Snapshot | None
    commit_index: int
    writes: WriteBuffer
    may_form: bool = True
    zone: str = ""
    role: RaftRole = RaftRole.FOLLOWER
    leader: NodeIdentity | None = None
    leading: LeaderState | None = None
    election_due: float = 0.0
    leader_heard: float = float("-inf")
    ballots: set[NodeIdentity] = field(default_factory=set)
    incoming: IncomingSnapshot | None = None
    forwarded_reads: dict[int, ForwardedRead] = field(default_factory=dict)
    next_request: int = 0
    greetings: dict[NodeIdentity, Greeting] = field(default_factory=dict)
    heard_addresses: dict[NodeIdentity, str] = field(default_factory=dict)
    hello_due: float = 0.0
    disk_full: bool = False
    applied_since_snapshot: int = 0
    applied_bytes_since_snapshot: int = 0
    snapshot_wanted: bool = False
    effects: list[Effect] = field(default_factory=list)

    @property
    def now(self) -> float:
        """The node's own time in seconds."""
        return self.clock.now

    @property
    def term(self) -> int:
        """The highest term seen."""
        return self.vote.term

    @property
    def membership(self) -> Membership:
        """The latest membership in the log."""
        return self.log.membership

    @property
    def counted_voters(self) -> tuple[NodeIdentity, ...]:
        """Voters of the latest membership in the log whose agreement counts."""
        return self.log.membership.counted_voters

    @property
    def quorum(self) -> int:
        """Number of counted voters that must agree."""
        return self.log.membership.quorum

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter, as far as it knows."""
        return self.identity in self.log.membership.voters

    @property
    def is_formed(self) -> bool:
        """Whether this node has ever learnt a membership."""
        return bool(self.log.membership.members)

    @property
    def persisted_index(self) -> int:
        """Last entry of the log that is durable here."""
        return self.writes.persisted_index

    @property
    def unsaved_entries(self) -> int:
        """Number of entries in memory that are not durable yet."""
        return self.log.last_index - self.persisted_index

    def address_of(self, identity: NodeIdentity) -> str:
        """Return where a node can be reached, or nothing if that is unknown."""
        member = self.membership.find(identity)
        if member is not None:
            return member.address
        heard = self.heard_addresses.get(identity)
        if heard is not None:
            return heard
        greeting = self.greetings.get(identity)
        if greeting is not None:
            return greeting.address
        named = (m.address for m in self.initial_members if m.name == identity.name)
        return next(named, "")

    def hear_address(self, sender: NodeIdentity, address: str) -> None:
        """Remember where a node is reached that the membership known here doesn't name."""
        if not address or self.membership.find(sender) is not None:
            return
        self.heard_addresses.pop(sender, None)
        self.heard_addresses[sender] = address
        if len(self.heard_addresses) > _MAX_HEARD_ADDRESSES:
            del self.heard_addresses[next(iter(self.heard_addresses))]

    def send(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message that promises nothing."""
        address = self.address_of(receiver)
        if address:
            self.effects.append(SendEnvelope(address, self._envelope(receiver, message)))

    def send_when_durable(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message once every write asked for so far is durable."""
        address = self.address_of(receiver)
        if address:
            self.writes.hold(SendEnvelope(address, self._envelope(receiver, message)))

    def send_when_term_durable(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message that promises no more than the present term.

        It needn't wait for entries, so a node whose disk is slow or full still answers.
        """
        if self.writes.holds_vote:
            self.send_when_durable(receiver, message)
        else:
            self.send(receiver, message)

    def set_vote(self, vote: Vote) -> None:
        """Change the term or vote."""
        if vote.term < self.vote.term:
            raise InvariantError(f"term {self.vote.term} can't go back to {vote.term}")
        if vote != self.vote:
            self.vote = vote
            self.writes.change_vote()

    def append(self, entry: Entry) -> None:
        """Add an entry to the log and to the next write."""
        self.log.append(entry)
        self.writes.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop entries that another leader's log replaces."""
        if index <= self.commit_index:
            raise InvariantError(f"committed entry {index} would be dropped")
        self.log.truncate_from(index)
        self.writes.truncate_from(index)

    def replace_stored(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        """Write a snapshot, and the entries after it, in place of all that is stored."""
        self.snapshot = snapshot
        self.applied_since_snapshot = 0
        self.applied_bytes_since_snapshot = 0
        write = Write(vote=self.vote, entries=entries, snapshot=snapshot)
        self.effects.append(self.writes.replace_stored(write, self.log.last_index))

    def persisted(self, ticket: int) -> bool:
        """Take note of a finished write; whether more of the log is now durable."""
        before = self.persisted_index
        self.effects.extend(self.writes.finish(ticket))
        return self.persisted_index > before

    def change_role(self, role: RaftRole, leader: NodeIdentity | None) -> None:
        """Set the role and known leader, and report the change."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role = role
        self.leader = leader
        self.effects.append(RoleChanged(role, self.term, leader))

    def flush_writes(self) -> None:
        """End a step: ask for the gathered write, and hold or let go what waits for it."""
        self.effects.extend(self.writes.flush(self.vote, self.log.last_index))

    def _envelope(self, receiver: NodeIdentity, message: Message) -> Envelope:
        return Envelope(self.identity, receiver, message, self.address)
