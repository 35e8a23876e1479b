"""State shared by the modules of a node, and the buffer of its effects.

Writes wanted during one step are gathered and become one :class:`Persist`. Messages that promise
something are held back until the writes before them are durable.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from finchshed.common.errors import InvariantError
from finchshed.consensus.clock import SteadyClock
from finchshed.consensus.effects import Effect, Persist, Role, RoleChanged, Send
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.log import RaftLog
from finchshed.consensus.membership import InitialMember, Membership
from finchshed.consensus.messages import Envelope, Message
from finchshed.consensus.options import RaftOptions
from finchshed.consensus.progress import Progress
from finchshed.storage.records import Entry, Snapshot, Vote, Write

_MAX_HEARD_ADDRESSES = 64


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
class _OutstandingWrite:
    """A write asked for and not yet durable, and what waits for it."""

    ticket: int
    last_index: int
    holds_vote: bool
    sends: list[Send] = field(default_factory=list)


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
    persisted_index: int
    role: Role = Role.FOLLOWER
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
    _last_ticket: int = 0
    _outstanding: deque[_OutstandingWrite] = field(default_factory=deque)
    _vote_changed: bool = False
    _truncate_from: int | None = None
    _unsaved: list[Entry] = field(default_factory=list)
    _held_sends: list[Send] = field(default_factory=list)

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
            self.effects.append(Send(address, self._envelope(receiver, message)))

    def send_when_durable(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message once every write asked for so far is durable."""
        address = self.address_of(receiver)
        if address:
            self._held_sends.append(Send(address, self._envelope(receiver, message)))

    def send_when_term_durable(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message that promises no more than the present term.

        It needn't wait for entries, so a node whose disk is slow or full still answers.
        """
        if self._vote_changed or any(write.holds_vote for write in self._outstanding):
            self.send_when_durable(receiver, message)
        else:
            self.send(receiver, message)

    def set_vote(self, vote: Vote) -> None:
        """Change the term or vote."""
        if vote.term < self.vote.term:
            raise InvariantError(f"term {self.vote.term} can't go back to {vote.term}")
        if vote != self.vote:
            self.vote = vote
            self._vote_changed = True

    def append(self, entry: Entry) -> None:
        """Add an entry to the log and to the next write."""
        self.log.append(entry)
        self._unsaved.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop entries that another leader's log replaces."""
        if index <= self.commit_index:
            raise InvariantError(f"committed entry {index} would be dropped")
        self.log.truncate_from(index)
        self._unsaved = [entry for entry in self._unsaved if entry.index < index]
        earlier = self._truncate_from
        self._truncate_from = index if earlier is None else min(earlier, index)
        self.limit_persisted(index - 1)

    def limit_persisted(self, index: int) -> None:
        """Count nothing after ``index`` as durable on account of writes asked for so far."""
        self.persisted_index = min(self.persisted_index, index)
        for write in self._outstanding:
            write.last_index = min(write.last_index, index)

    def replace_stored(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        """Write a snapshot, and the entries after it, in place of all that is stored."""
        self.snapshot = snapshot
        self.applied_since_snapshot = 0
        self.applied_bytes_since_snapshot = 0
        self._vote_changed = False
        self._truncate_from = None
        self._unsaved = []
        self._persist(Write(vote=self.vote, entries=entries, snapshot=snapshot))

    def persisted(self, ticket: int) -> bool:
        """Take note of a finished write; whether more of the log is now durable."""
        before = self.persisted_index
        while self._outstanding and self._outstanding[0].ticket <= ticket:
            write = self._outstanding.popleft()
            self.persisted_index = max(self.persisted_index, write.last_index)
            self.effects.extend(write.sends)
        return self.persisted_index > before

    def change_role(self, role: Role, leader: NodeIdentity | None) -> None:
        """Set the role and known leader, and report the change."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role = role
        self.leader = leader
        self.effects.append(RoleChanged(role, self.term, leader))

    def flush_writes(self) -> None:
        """End a step: ask for the gathered write, and hold or let go what waits for it."""
        if self._vote_changed or self._truncate_from is not None or self._unsaved:
            vote = self.vote if self._vote_changed else None
            entries = tuple(self._unsaved)
            write = Write(vote=vote, truncate_from=self._truncate_from, entries=entries)
            self._vote_changed = False
            self._truncate_from = None
            self._unsaved = []
            self._persist(write)
        if self._outstanding:
            for held in self._held_sends:
                _hold(self._outstanding[-1].sends, held)
        else:
            self.effects.extend(self._held_sends)
        self._held_sends = []

    def _envelope(self, receiver: NodeIdentity, message: Message) -> Envelope:
        return Envelope(self.identity, receiver, message, self.address)

    def _persist(self, write: Write) -> None:
        self._last_ticket += 1
        holds_vote = write.vote is not None
        last_index = self.log.last_index
        self._outstanding.append(_OutstandingWrite(self._last_ticket, last_index, holds_vote))
        self.effects.append(Persist(self._last_ticket, write))


def _hold(sends: list[Send], send: Send) -> None:
    """Add a message to those that wait for a write; it stands for earlier ones of its kind.

    Only the last acknowledgement or vote to a node matters, so what waits stays small however
    long the disk has no room.
    """
    envelope = send.envelope
    for position, earlier in enumerate(sends):
        same_receiver = earlier.envelope.receiver == envelope.receiver
        if same_receiver and type(earlier.envelope.message) is type(envelope.message):
            sends[position] = send
            return
    sends.append(send)
