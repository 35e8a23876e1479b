"""Single-server membership changes and the checks that guard them.

Safety (chapter 4 of the Raft dissertation and its 2015 erratum): a change takes effect when it is
appended, the next one waits until it is committed, and a leader makes none before an entry of its
own term is committed.

Availability: a voter is removed only if a majority of the remaining voters, including those still
under repair, is responsive and holds the committed log. Otherwise the change could never commit and
would block the group. A voter that responded recently may since have failed, so a removal requested
by an operator waits for a heartbeat round that started after the request.
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
from finchshed.consensus.state import Announcement, LeaderState, NodeState, PendingChange
from finchshed.storage.records import Entry, EntryKind

ANNOUNCEMENT_LIFETIME_SECONDS = 5.0
"""Maximum age of an announcement for its sender to be added to the group."""


def on_membership_change(state: NodeState, token: int, change: MembershipChange) -> None:
    """Apply an operator's change, or refuse it with the cause."""
    leader_state = state.leader_state
    if leader_state is None:
        refuse(state, token, RefusalCause.NOT_LEADER)
        return
    cause = blocking_cause(state, leader_state)
    if cause is not None:
        refuse(state, token, cause)
        return
    target = _membership_after(state, change)
    if target is None:
        refuse(state, token, RefusalCause.UNKNOWN_NODE)
    elif target == state.membership:
        state.effects.append(Committed(token, state.log.membership_index))
    elif not keeps_healthy_majority(state, leader_state, target):
        refuse(state, token, RefusalCause.WOULD_LOSE_QUORUM)
    elif set(state.membership.voters) <= set(target.voters):
        _append_change(state, leader_state, token, target)
    else:
        deadline = state.now + state.options.read_timeout_seconds
        leader_state.pending_change = PendingChange(token, target, leader_state.round + 1, deadline)


def finish_pending_change(state: NodeState, leader_state: LeaderState) -> None:
    """Append the pending removal once a majority of the remaining voters has confirmed."""
    pending = leader_state.pending_change
    if pending is None:
        return
    if keeps_healthy_majority(state, leader_state, pending.target, pending.round):
        leader_state.pending_change = None
        _append_change(state, leader_state, pending.token, pending.target)
    elif state.now >= pending.deadline:
        leader_state.pending_change = None
        refuse(state, pending.token, RefusalCause.WOULD_LOSE_QUORUM)


def blocking_cause(state: NodeState, leader_state: LeaderState) -> RefusalCause | None:
    """Return why no change can be made now, or None if one can."""
    if state.commit_index < leader_state.term_start_index:
        return RefusalCause.NOT_READY
    if state.log.membership_index > state.commit_index or leader_state.pending_change is not None:
        return RefusalCause.CHANGE_IN_PROGRESS
    return None


def append_membership(state: NodeState, membership: Membership) -> int:
    """Append a membership entry to the leader's log and return its index."""
    index = state.log.last_index + 1
    data = encode_membership(membership)
    state.append(Entry(index, state.term, EntryKind.MEMBERSHIP, data))
    return index


def keeps_healthy_majority(
    state: NodeState, leader_state: LeaderState, target: Membership, answered_round: int = 0
) -> bool:
    """Whether a majority of the voters in ``target`` is responsive and holds the committed log.

    Always true if no voter is removed. A learner marked for promotion counts towards the group
    size unless it replaces a voter that is still listed. Only voters that have acknowledged
    heartbeat round ``answered_round`` are counted as healthy.
    """
    removed = set(state.membership.voters) - set(target.voters)
    if not removed:
        return True
    voters = target.voters
    names = {voter.name for voter in voters}
    under_repair = {
        member.identity.name
        for member in target.members
        if member.role is MemberRole.LEARNER and member.promote
    }
    size = len(voters) + len(under_repair - names)
    healthy = sum(
        is_healthy(state, leader_state, voter)
        and acknowledged_round_of(state, leader_state, voter) >= answered_round
        for voter in target.counted_voters
    )
    return bool(voters) and healthy >= quorum_size(size)


def is_healthy(state: NodeState, leader_state: LeaderState, identity: NodeIdentity) -> bool:
    """Whether a member is responsive and within the promotion lag of the commit index."""
    if identity == state.identity:
        return state.persisted_index >= state.commit_index
    progress = leader_state.progress.get(identity)
    since = state.now - state.options.election_timeout_min_seconds
    return (
        progress is not None
        and progress.last_heard >= since
        and progress.match_index >= state.commit_index - state.options.promotion_lag_entries
    )


def acknowledged_round_of(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity
) -> int:
    """Return the highest heartbeat round that a member has acknowledged."""
    if identity == state.identity:
        return leader_state.round
    progress = leader_state.progress.get(identity)
    return progress.acknowledged_round if progress else 0


def refuse(state: NodeState, token: int, cause: RefusalCause) -> None:
    """Refuse a request, naming the current leader if known."""
    address = state.address_of(state.leader) if state.leader is not None else ""
    state.effects.append(RequestRefused(token, cause, state.leader, address))


def _append_change(
    state: NodeState, leader_state: LeaderState, token: int, target: Membership
) -> None:
    index = append_membership(state, target)
    leader_state.proposals[index] = token


def _membership_after(state: NodeState, change: MembershipChange) -> Membership | None:
    if isinstance(change, AddMember):
        return _after_adding(state, change)
    membership = state.membership
    voter_removed = False
    for member in membership.members_named(change.name):
        if member.role is MemberRole.VOTER and voter_removed:
            continue
        voter_removed = voter_removed or member.role is MemberRole.VOTER
        membership = membership.without_member(member.identity)
    return membership


def _after_adding(state: NodeState, change: AddMember) -> Membership | None:
    membership = state.membership
    present = membership.members_named(change.name)
    if not present:
        return _with_announced_node(state, change)
    for member in present:
        membership = membership.with_member(_with_requested_role(member, change.voter))
    return membership


def _with_announced_node(state: NodeState, change: AddMember) -> Membership | None:
    announcements = [
        announcement
        for announcement in state.announcements.values()
        if announcement.identity.name == change.name and is_recent(state, announcement)
    ]
    if not announcements:
        return None
    latest = max(announcements, key=lambda announcement: announcement.received_at)
    role = MemberRole.LEARNER
    member = Member(latest.identity, latest.address, role, promote=change.voter, zone=latest.zone)
    return state.membership.with_member(member)


def is_recent(state: NodeState, announcement: Announcement) -> bool:
    """Whether an announcement is recent enough for its sender to be added."""
    return announcement.received_at >= state.now - ANNOUNCEMENT_LIFETIME_SECONDS


def _with_requested_role(member: Member, voter: bool) -> Member:
    if member.role is MemberRole.VOTER and voter:
        return member
    return as_learner(member, promote=voter)
