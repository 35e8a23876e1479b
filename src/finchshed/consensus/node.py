"""The node of the replicated log: a state machine that takes events and returns effects.

Owns the state of the node; each module of this package has one part of the rules. Relies on
:mod:`finchshed.consensus.effect_runner` to carry the effects out in order.
"""

import random
from collections.abc import Sequence

import msgspec

from finchshed.consensus import (
    election,
    formation,
    membership_changes,
    read_index,
    receiving,
    repair,
    replication,
    requests,
    roles,
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

_REQUEST_BITS = 48
"""Requests are numbered from a random start of so many bits, so that a late answer to an earlier
life of this node fits none. Chosen, not measured."""

_MIN_DELAY_SECONDS = 0.001
"""Shortest time until the next tick, so that a due time just reached is past. Chosen, not
measured."""


class MemberProgress(msgspec.Struct, frozen=True):
    """What a leader knows of a member. ``silent_seconds`` is the time since its last answer."""

    member: Member
    match_index: int
    silent_seconds: float


class RaftNode:
    """One node. It does no I/O, reads no clock and has no randomness of its own.

    Parameters
    ----------
    name, address
        This node's name and the ``host:port`` where others reach it.
    stored
        What its disk held at the start.
    rng
        Source of randomness; must differ between starts.
    initial_members
        Voters with which the group is formed at its very first start. A node that joins a group
        later gives the same list, to know whom to greet.
    now
        The host's time in seconds. Any clock will do: steps are harmless.
    options
        Times and sizes.
    may_form
        Whether the node may form the group; one that starts anew on an empty disk later may not.
    zone
        Zone of this machine, told to the group; empty: unknown.
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
            # Answers to requests of an earlier start must not be taken for answers to new ones.
            next_request=rng.getrandbits(_REQUEST_BITS),
        )

    @property
    def identity(self) -> NodeIdentity:
        """Who the node is."""
        return self._state.identity

    @property
    def role(self) -> RaftRole:
        """What this node is at present."""
        return self._state.role

    @property
    def term(self) -> int:
        """The highest term seen."""
        return self._state.term

    @property
    def leader(self) -> NodeIdentity | None:
        """The leader, as far as known."""
        return self._state.leader

    @property
    def leader_address(self) -> str:
        """Where the leader is reached, or nothing if it is unknown."""
        leader = self._state.leader
        return "" if leader is None else self._state.address_of(leader)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log; it may not be committed yet."""
        return self._state.membership

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed. It has been applied."""
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
    def disk_full(self) -> bool:
        """Whether writes are waiting for room."""
        return self._state.disk_full

    @property
    def last_now(self) -> float:
        """The host's time at the last event, in seconds."""
        return self._state.clock.host_now

    def member_statuses(self) -> list[MemberProgress]:
        """Return what is known of each member; empty unless this node leads."""
        leading = self._state.leading
        if leading is None:
            return []
        return [self._status_of(leading, member) for member in self.membership.members]

    def next_delay(self) -> float:
        """Return after how many seconds, at the latest, a :class:`Tick` is due."""
        state = self._state
        interval = state.options.heartbeat_interval_seconds
        due = state.election_due if state.leading is None else state.leading.heartbeat_due
        return min(max(due - state.now, _MIN_DELAY_SECONDS), interval)

    def start(self, now: float) -> list[Effect]:
        """Begin; the effects bring the application to the state on the disk."""
        state = self._state
        state.clock.advance(now)
        roles.set_first_election_timer(state)
        if state.snapshot is not None:
            state.effects.append(RestoreSnapshot(state.snapshot.index, state.snapshot.data))
            membership = state.log.membership_at(state.snapshot.index)
            state.effects.append(MembershipChanged(state.snapshot.index, membership))
        return self._take_effects()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event at the host's time ``now`` in seconds."""
        return self.handle_all((event,), now)

    def handle_all(self, events: Sequence[Event], now: float) -> list[Effect]:
        """Take several events at once: what they append is sent and written together."""
        state = self._state
        state.clock.advance(now)
        for event in events:
            self._dispatch(event)
        leading = state.leading
        if leading is not None:
            self._lead(leading)
        state.flush_writes()
        roles.report_wanted_snapshot(state)
        return self._take_effects()

    def _take_effects(self) -> list[Effect]:
        effects = self._state.effects
        self._state.effects = []
        return effects

    def _lead(self, leading: LeaderState) -> None:
        state = self._state
        replication.track_members(state, leading)
        read_index.finish_reads(state, leading)
        read_index.start_round(state, leading)
        read_index.finish_reads(state, leading)
        membership_changes.finish_pending_change(state, leading)
        replication.send_entries(state, leading)

    def _dispatch(self, event: Event) -> None:
        state = self._state
        match event:
            case MessageReceived():
                receiving.receive(state, event.envelope)
            case Tick():
                self._tick()
            case WritePersisted():
                if state.persisted(event.ticket) and state.leading is not None:
                    replication.update_commit(state, state.leading)
            case Propose():
                requests.propose(state, event)
            case Read():
                read_index.on_read(state, event.token)
            case ChangeMembership():
                membership_changes.on_change(state, event.token, event.change)
            case TransferLeadership():
                requests.transfer_leadership(state, event.target)
            case SnapshotTaken():
                requests.keep_snapshot(state, event)
            case DiskFull():
                requests.stop_for_full_disk(state)
            case DiskSpaceAvailable():
                state.disk_full = False

    def _tick(self) -> None:
        state = self._state
        read_index.expire_reads(state)
        formation.greet(state)
        formation.form_group(state)
        leading = state.leading
        if leading is not None:
            self._tick_leader(leading)
        elif state.now >= state.election_due:
            if election.may_campaign(state):
                election.start_pre_vote(state)
            else:
                # Also takes a new time for the next look, or every tick from now on would be due.
                roles.become_follower(state, state.term, None)

    def _tick_leader(self, leading: LeaderState) -> None:
        state = self._state
        if state.now >= leading.quorum_check_due:
            leading.quorum_check_due = state.now + state.options.heartbeat_interval_seconds
            if not replication.has_quorum_contact(state, leading):
                roles.become_follower(state, state.term, None)
                return
        if leading.transfer is not None and state.now >= leading.transfer.deadline:
            leading.transfer = None
        if state.now >= leading.heartbeat_due:
            replication.send_heartbeats(state, leading)
        repair.repair(state, leading)

    def _status_of(self, leading: LeaderState, member: Member) -> MemberProgress:
        progress = leading.progress.get(member.identity)
        if progress is None:
            return MemberProgress(member, self._state.persisted_index, 0.0)
        silent = self._state.now - progress.last_heard
        return MemberProgress(member, progress.match_index, silent)
