"""State of a node, shared by the modules of this package.

The other modules are functions on :class:`NodeState`.
"""

import random
from dataclasses import dataclass, field

from finchshed.common.errors import InvariantError
from finchshed.consensus.clock import SteadyClock
from finchshed.consensus.effects import (
    Effect,
    PromotionBlock,
    RaftRole,
    RoleChanged,
    SendEnvelope,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.log import RaftLog
from finchshed.consensus.membership import InitialMember, Membership
from finchshed.consensus.messages import Envelope, Message
from finchshed.consensus.options import RaftOptions
from finchshed.consensus.progress import Progress
from finchshed.consensus.write_buffer import WriteBuffer
from finchshed.storage.records import Entry, Snapshot, Vote, Write

_MAX_LEARNED_ADDRESSES = 64
"""Maximum number of addresses kept for senders that are not members; bounds memory."""


@dataclass
class PendingRead:
    """A read waiting for leadership confirmation; ``requester`` is None for a local read."""

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
    """A voter removal waiting for the remaining voters to acknowledge heartbeat ``round``."""

    token: int
    target: Membership
    round: int
    deadline: float


@dataclass
class Announcement:
    """The latest announcement of a node that is not a member.

    ``acknowledged_incarnation`` is the incarnation of this node that the sender has seen.
    """

    identity: NodeIdentity
    address: str
    formed: bool
    received_at: float
    acknowledged_incarnation: str = ""
    zone: str = ""


@dataclass
class ReportedBlock:
    """Why a node is not a voter yet, as last reported, and the time of that report."""

    block: PromotionBlock
    reported_at: float


@dataclass
class LeaderState:
    """Leader-only state, discarded when leadership ends.

    ``checked_at`` is the time at which the leader last checked its quorum and members.
    """

    term_start_index: int
    checked_at: float
    progress: dict[NodeIdentity, Progress] = field(default_factory=dict)
    proposals: dict[int, int] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)
    round: int = 0
    heartbeat_due: float = 0.0
    transfer: Transfer | None = None
    pending_change: PendingChange | None = None
    reported_blocks: dict[NodeIdentity, ReportedBlock] = field(default_factory=dict)


@dataclass
class IncomingSnapshot:
    """A partially received snapshot."""

    index: int
    term: int
    buffer: bytearray = field(default_factory=bytearray)


@dataclass
class ForwardedRead:
    """A read forwarded to the leader. ``index`` is set once the leader has confirmed it."""

    token: int
    deadline: float
    index: int | None = None


@dataclass
class NodeState:
    """State of one node, and the effects of the current step."""

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
    leader_state: LeaderState | None = None
    election_due: float = 0.0
    leader_last_heard: float = float("-inf")
    votes_received: set[NodeIdentity] = field(default_factory=set)
    incoming_snapshot: IncomingSnapshot | None = None
    forwarded_reads: dict[int, ForwardedRead] = field(default_factory=dict)
    next_request: int = 0
    announcements: dict[NodeIdentity, Announcement] = field(default_factory=dict)
    learned_addresses: dict[NodeIdentity, str] = field(default_factory=dict)
    announcement_due: float = 0.0
    disk_full: bool = False
    applied_since_snapshot: int = 0
    applied_bytes_since_snapshot: int = 0
    snapshot_due: bool = False
    effects: list[Effect] = field(default_factory=list)

    @property
    def now(self) -> float:
        """Time of the node-local clock, in seconds."""
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
        """Voters of the latest membership that are not superseded."""
        return self.log.membership.counted_voters

    @property
    def quorum(self) -> int:
        """Number of counted voters that must agree."""
        return self.log.membership.quorum

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter in the latest membership."""
        return self.identity in self.log.membership.voters

    @property
    def is_formed(self) -> bool:
        """Whether this node knows a membership."""
        return bool(self.log.membership.members)

    @property
    def persisted_index(self) -> int:
        """Index of the last entry that is durable on this node."""
        return self.writes.persisted_index

    @property
    def unsaved_entries(self) -> int:
        """Number of entries in memory that are not durable yet."""
        return self.log.last_index - self.persisted_index

    def address_of(self, identity: NodeIdentity) -> str:
        """Return the address of a node, empty if unknown."""
        member = self.membership.find(identity)
        if member is not None:
            return member.address
        heard = self.learned_addresses.get(identity)
        if heard is not None:
            return heard
        announcement = self.announcements.get(identity)
        if announcement is not None:
            return announcement.address
        named = (m.address for m in self.initial_members if m.name == identity.name)
        return next(named, "")

    def learn_address(self, sender: NodeIdentity, address: str) -> None:
        """Store the address of a sender that is not in the latest membership."""
        if not address or self.membership.find(sender) is not None:
            return
        self.learned_addresses.pop(sender, None)
        self.learned_addresses[sender] = address
        if len(self.learned_addresses) > _MAX_LEARNED_ADDRESSES:
            del self.learned_addresses[next(iter(self.learned_addresses))]

    def send(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message that does not depend on pending writes."""
        address = self.address_of(receiver)
        if address:
            self.effects.append(SendEnvelope(address, self._envelope(receiver, message)))

    def send_when_durable(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message once all writes requested so far are durable."""
        address = self.address_of(receiver)
        if address:
            self.writes.defer(SendEnvelope(address, self._envelope(receiver, message)))

    def send_when_term_durable(self, receiver: NodeIdentity, message: Message) -> None:
        """Send a message once the current term is durable.

        It does not wait for entries, so a node with a slow or full disk still replies.
        """
        if self.writes.has_unsaved_vote:
            self.send_when_durable(receiver, message)
        else:
            self.send(receiver, message)

    def set_vote(self, vote: Vote) -> None:
        """Set the term and vote."""
        if vote.term < self.vote.term:
            raise InvariantError(f"term must not decrease from {self.vote.term} to {vote.term}")
        if vote != self.vote:
            self.vote = vote
            self.writes.mark_vote_changed()

    def append(self, entry: Entry) -> None:
        """Append an entry to the log and to the next write."""
        self.log.append(entry)
        self.writes.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove entries from ``index`` on, which conflict with the leader's log."""
        if index <= self.commit_index:
            raise InvariantError(
                f"cannot truncate from entry {index}: committed up to {self.commit_index}"
            )
        self.log.truncate_from(index)
        self.writes.truncate_from(index)

    def replace_stored(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        """Replace all stored state with a snapshot and the entries after it."""
        self.snapshot = snapshot
        self.applied_since_snapshot = 0
        self.applied_bytes_since_snapshot = 0
        write = Write(vote=self.vote, entries=entries, snapshot=snapshot)
        self.effects.append(self.writes.replace_stored(write, self.log.last_index))

    def on_write_persisted(self, ticket: int) -> bool:
        """Record a finished write; return whether more of the log became durable."""
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
        """End a step: request the buffered write, then send or defer the held messages."""
        self.effects.extend(self.writes.flush(self.vote, self.log.last_index))

    def _envelope(self, receiver: NodeIdentity, message: Message) -> Envelope:
        return Envelope(self.identity, receiver, message, self.address)
