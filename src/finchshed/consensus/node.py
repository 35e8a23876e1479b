"""Raft node: a state machine that takes events and returns effects.

The protocol rules are in the other modules of this package, as functions on the node's state.
"""

import random
from collections.abc import Sequence

import msgspec

from finchshed.consensus import (
    formation,
    membership_changes,
    message_dispatch,
    read_index,
    replication,
    requests,
    roles,
    timed_duties,
)
from finchshed.consensus.clock import SteadyClock
from finchshed.consensus.effects import (
    Effect,
    MembershipChanged,
    RaftRole,
    RestoreSnapshot,
)
from finchshed.consensus.events import (
    ChangeMembership,
    DiskFull,
    DiskSpaceAvailable,
    Event,
    MessageReceived,
    Propose,
    Read,
    SnapshotTaken,
    Tick,
    TransferLeadership,
    WritePersisted,
)
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.log import RaftLog
from finchshed.consensus.membership import InitialMember, Member, Membership
from finchshed.consensus.options import RaftOptions
from finchshed.consensus.state import LeaderState, NodeState
from finchshed.consensus.write_buffer import WriteBuffer
from finchshed.storage.records import StoredState

_REQUEST_ID_BITS = 48
"""Size of the random initial request ID; keeps replies to an earlier process from matching."""

_TIMER_MARGIN_SECONDS = 0.001
"""Added to the time until a duty is due; a timer that fires early would need a second step."""


class MemberStatus(msgspec.Struct, frozen=True):
    """A leader's view of a member. ``silent_seconds`` is the time since its last reply."""

    member: Member
    match_index: int
    silent_seconds: float


class RaftNode:
    """A Raft node. It does no I/O, reads no clock and takes all randomness from ``rng``.

    Parameters
    ----------
    name, address
        Name of this node and its ``host:port`` for consensus messages.
    stored
        State found on its disk at start.
    rng
        Source of randomness; must differ between starts.
    initial_members
        Voters of the group when it is first formed. A node that joins later passes the same list,
        to know where to announce itself.
    now
        Host time in seconds. Clock steps are tolerated.
    options
        Timeouts and limits.
    may_form
        Whether the node may form the group; False for a node that restarts on an empty disk.
    zone
        Zone of this machine; empty if unknown.
    """

    def __init__(
        self,
        name: str,
        address: str,
        stored: StoredState,
        *,
        rng: random.Random,
        initial_members: tuple[InitialMember, ...],
        now: float,
        options: RaftOptions | None = None,
        may_form: bool = True,
        zone: str = "",
    ) -> None:
        options = options or RaftOptions()
        log = RaftLog(stored.snapshot, stored.entries)
        self._state = NodeState(
            identity=NodeIdentity(name, stored.incarnation),
            address=address,
            options=options,
            rng=rng,
            clock=SteadyClock(now, options.election_timeout_min_seconds / 2),
            log=log,
            vote=stored.vote,
            initial_members=initial_members,
            snapshot=stored.snapshot,
            commit_index=stored.snapshot.index if stored.snapshot else 0,
            writes=WriteBuffer(log.last_index),
            may_form=may_form,
            zone=zone,
            next_request=rng.getrandbits(_REQUEST_ID_BITS),
        )

    @property
    def identity(self) -> NodeIdentity:
        """Name and disk incarnation of this node."""
        return self._state.identity

    @property
    def role(self) -> RaftRole:
        """Current role of this node."""
        return self._state.role

    @property
    def term(self) -> int:
        """The highest term seen."""
        return self._state.term

    @property
    def leader(self) -> NodeIdentity | None:
        """The current leader, or None if unknown."""
        return self._state.leader

    @property
    def leader_address(self) -> str:
        """Address of the leader, empty if unknown."""
        leader = self._state.leader
        return "" if leader is None else self._state.address_of(leader)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log; it may not be committed yet."""
        return self._state.membership

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed; it has been applied."""
        return self._state.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._state.log.last_index

    @property
    def log(self) -> RaftLog:
        """The log in memory, for inspection only."""
        return self._state.log

    @property
    def snapshot_bytes(self) -> int:
        """Size of the latest snapshot, which is kept for followers that need it."""
        snapshot = self._state.snapshot
        return 0 if snapshot is None else len(snapshot.data)

    @property
    def disk_full(self) -> bool:
        """Whether writes are blocked by a full disk."""
        return self._state.disk_full

    @property
    def last_now(self) -> float:
        """Host time of the last event, in seconds."""
        return self._state.clock.host_now

    @property
    def now(self) -> float:
        """Time of the node-local clock, in seconds."""
        return self._state.now

    def member_statuses(self) -> list[MemberStatus]:
        """Return the status of each member; empty unless this node is the leader."""
        leader_state = self._state.leader_state
        if leader_state is None:
            return []
        return [self._status_of(leader_state, member) for member in self.membership.members]

    @property
    def leader_check_age_seconds(self) -> float:
        """Time since this node last checked its quorum and members as the leader, else 0."""
        leader_state = self._state.leader_state
        return 0.0 if leader_state is None else self._state.now - leader_state.checked_at

    def next_delay(self) -> float:
        """Return the maximum delay in seconds until the next step, with or without events."""
        state = self._state
        delay = max(timed_duties.next_due(state) - state.now, 0.0) + _TIMER_MARGIN_SECONDS
        # The clock counts no more than its longest step, whatever time has passed.
        return min(delay, state.clock.max_step)

    def start(self, now: float) -> list[Effect]:
        """Start the node; the returned effects restore the application from the stored snapshot."""
        state = self._state
        state.clock.advance(now)
        roles.set_first_election_timer(state)
        if state.snapshot is not None:
            state.effects.append(RestoreSnapshot(state.snapshot.index, state.snapshot.data))
            membership = state.log.membership_at(state.snapshot.index)
            state.effects.append(MembershipChanged(state.snapshot.index, membership))
        return self._take_effects()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event at host time ``now`` in seconds."""
        return self.handle_all((event,), now)

    def handle_all(self, events: Sequence[Event], now: float) -> list[Effect]:
        """Handle several events in one step, which batches the entries they append."""
        state = self._state
        state.clock.advance(now)
        for event in events:
            self._dispatch(event)
        formation.form_group(state)
        timed_duties.carry_out_due(state)
        leader_state = state.leader_state
        if leader_state is not None:
            self._advance_leader(leader_state)
        state.flush_writes()
        roles.request_due_snapshot(state)
        return self._take_effects()

    def _take_effects(self) -> list[Effect]:
        effects = self._state.effects
        self._state.effects = []
        return effects

    def _advance_leader(self, leader_state: LeaderState) -> None:
        state = self._state
        replication.track_members(state, leader_state)
        read_index.complete_confirmed_reads(state, leader_state)
        read_index.start_confirmation_round(state, leader_state)
        read_index.complete_confirmed_reads(state, leader_state)
        membership_changes.finish_pending_change(state, leader_state)
        replication.send_entries(state, leader_state)

    def _dispatch(self, event: Event) -> None:
        state = self._state
        match event:
            case MessageReceived():
                message_dispatch.dispatch_message(state, event.envelope)
            case Tick():
                pass  # what is due is carried out after any event
            case WritePersisted():
                if state.on_write_persisted(event.ticket) and state.leader_state is not None:
                    replication.update_commit_index(state, state.leader_state)
            case Propose():
                requests.propose(state, event)
            case Read():
                read_index.on_read(state, event.token)
            case ChangeMembership():
                membership_changes.on_membership_change(state, event.token, event.change)
            case TransferLeadership():
                requests.transfer_leadership(state, event.target)
            case SnapshotTaken():
                requests.store_snapshot(state, event)
            case DiskFull():
                requests.on_disk_full(state)
            case DiskSpaceAvailable():
                state.disk_full = False

    def _status_of(self, leader_state: LeaderState, member: Member) -> MemberStatus:
        progress = leader_state.progress.get(member.identity)
        if progress is None:
            return MemberStatus(member, self._state.persisted_index, 0.0)
        silent = self._state.now - progress.last_heard
        return MemberStatus(member, progress.match_index, silent)
