"""Changes of the membership: one member at a time, guarded.

Rules of safety (chapter 4 of the Raft dissertation, and the correction of 2015 to it): a change
takes effect when it is appended; the next waits until it is committed; and a leader makes none
before an entry of its own term is committed.

Rule of availability: no voter is removed if fewer than a majority of the voters that remain,
counting those whose repair is unfinished, would hold the whole committed log on a disk that
answers. Such a change could never be committed, and it would block the group. That a voter
answered a moment ago is not enough, it may be the one that was just lost: an operator's removal
waits for a round of heartbeats sent after it was asked for.

Owns the change in progress in the leader's state.
"""

from finchshed.consensus.effects import Committed, RefusalCause, RequestRefused
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import (
    AddMember,
    Member,
    MemberRole,
    Membership,
    MembershipChange,
    as_learner,
    encode_membership,
    quorum_size,
)
from finchshed.consensus.state import Greeting, LeaderState, NodeState, PendingChange
from finchshed.storage.records import Entry, EntryKind

GREETING_LIFETIME_SECONDS = 5.0
"""A node is taken in only if it greeted within this time: it is there. Chosen, not measured."""


def on_change(state: NodeState, token: int, change: MembershipChange) -> None:
    """Take an operator's change, or refuse it with the cause."""
    leading = state.leading
    if leading is None:
        refuse(state, token, RefusalCause.NOT_LEADER)
        return
    cause = blocked_by(state, leading)
    if cause is not None:
        refuse(state, token, cause)
        return
    wanted = _membership_after(state, change)
    if wanted is None:
        refuse(state, token, RefusalCause.UNKNOWN_NODE)
    elif wanted == state.membership:
        state.effects.append(Committed(token, state.log.membership_index))
    elif not keeps_whole_majority(state, leading, wanted):
        refuse(state, token, RefusalCause.WOULD_LOSE_QUORUM)
    elif set(state.membership.voters) <= set(wanted.voters):
        _append_change(state, leading, token, wanted)
    else:
        deadline = state.now + state.options.read_timeout_seconds
        leading.pending_change = PendingChange(token, wanted, leading.round + 1, deadline)


def finish_pending_change(state: NodeState, leading: LeaderState) -> None:
    """Make the removal that waits, once enough of those that remain have answered."""
    pending = leading.pending_change
    if pending is None:
        return
    if keeps_whole_majority(state, leading, pending.wanted, pending.round):
        leading.pending_change = None
        _append_change(state, leading, pending.token, pending.wanted)
    elif state.now >= pending.deadline:
        leading.pending_change = None
        refuse(state, pending.token, RefusalCause.WOULD_LOSE_QUORUM)


def blocked_by(state: NodeState, leading: LeaderState) -> RefusalCause | None:
    """Return why no change can be made now, if so."""
    if state.commit_index < leading.term_start_index:
        return RefusalCause.NOT_READY
    if state.log.membership_index > state.commit_index or leading.pending_change is not None:
        return RefusalCause.CHANGE_IN_PROGRESS
    return None


def append_membership(state: NodeState, membership: Membership) -> int:
    """Append a membership to the leader's log; return its index."""
    index = state.log.last_index + 1
    data = encode_membership(membership)
    state.append(Entry(index, state.term, EntryKind.MEMBERSHIP, data))
    return index


def keeps_whole_majority(
    state: NodeState, leading: LeaderState, wanted: Membership, answered_round: int = 0
) -> bool:
    """Whether a majority of ``wanted`` voters answers and holds the committed log.

    Always so if no voter is removed. A learner under promotion counts towards the size of the
    group unless it takes the place of a voter that is still counted. Only voters that have
    answered the heartbeats of ``answered_round`` count.
    """
    removed = set(state.membership.voters) - set(wanted.voters)
    if not removed:
        return True
    voters = wanted.voters
    names = {voter.name for voter in voters}
    under_repair = {
        member.identity.name
        for member in wanted.members
        if member.role is MemberRole.LEARNER and member.promote
    }
    size = len(voters) + len(under_repair - names)
    whole = sum(
        is_whole(state, leading, voter)
        and round_answered_by(state, leading, voter) >= answered_round
        for voter in wanted.counted_voters
    )
    return bool(voters) and whole >= quorum_size(size)


def is_whole(state: NodeState, leading: LeaderState, identity: NodeIdentity) -> bool:
    """Whether a member answers and holds all that is committed."""
    if identity == state.identity:
        return state.persisted_index >= state.commit_index
    progress = leading.progress.get(identity)
    since = state.now - state.options.election_timeout_min_seconds
    return (
        progress is not None
        and progress.last_heard >= since
        and progress.match_index >= state.commit_index - state.options.promotion_lag_entries
    )


def round_answered_by(state: NodeState, leading: LeaderState, identity: NodeIdentity) -> int:
    """Return the highest round of heartbeats that a member has answered."""
    if identity == state.identity:
        return leading.round
    progress = leading.progress.get(identity)
    return progress.acknowledged_round if progress else 0


def refuse(state: NodeState, token: int, cause: RefusalCause) -> None:
    """Answer that nothing was done, and who may be asked instead."""
    address = state.address_of(state.leader) if state.leader is not None else ""
    state.effects.append(RequestRefused(token, cause, state.leader, address))


def _append_change(state: NodeState, leading: LeaderState, token: int, wanted: Membership) -> None:
    index = append_membership(state, wanted)
    leading.proposals[index] = token


def _membership_after(state: NodeState, change: MembershipChange) -> Membership | None:
    if isinstance(change, AddMember):
        return _after_adding(state, change)
    membership = state.membership
    voter_removed = False
    for member in membership.named(change.name):
        if member.role is MemberRole.VOTER and voter_removed:
            continue
        voter_removed = voter_removed or member.role is MemberRole.VOTER
        membership = membership.without(member.identity)
    return membership


def _after_adding(state: NodeState, change: AddMember) -> Membership | None:
    membership = state.membership
    present = membership.named(change.name)
    if not present:
        return _with_greeting(state, change)
    for member in present:
        membership = membership.with_member(_with_wish(member, change.voter))
    return membership


def _with_greeting(state: NodeState, change: AddMember) -> Membership | None:
    greetings = [
        greeting
        for greeting in state.greetings.values()
        if greeting.identity.name == change.name and is_fresh(state, greeting)
    ]
    if not greetings:
        return None
    latest = max(greetings, key=lambda greeting: greeting.heard)
    role = MemberRole.LEARNER
    member = Member(latest.identity, latest.address, role, promote=change.voter, zone=latest.zone)
    return state.membership.with_member(member)


def is_fresh(state: NodeState, greeting: Greeting) -> bool:
    """Whether a greeting was heard so lately that its sender can be taken in."""
    return greeting.heard >= state.now - GREETING_LIFETIME_SECONDS


def _with_wish(member: Member, voter: bool) -> Member:
    if member.role is MemberRole.VOTER and voter:
        return member
    return as_learner(member, promote=voter)
