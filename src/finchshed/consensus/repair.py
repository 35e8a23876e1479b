"""Replaces a voter that lost its disk with its new incarnation.

Each step is one membership change made by the leader:

1. The new incarnation joins as a learner next to the old one. The old one is then superseded: it
   counts towards the group size, but its votes and acknowledgements do not count. The quorum size
   is unchanged, and the learner does not vote.
2. Once the learner has caught up it replaces the old incarnation as a voter in a single change.
   Removing the old voter first would leave a group of three with two voters that must both be
   available, and losing one of them would block the group permanently.

Every quorum before a step intersects every quorum after it, as Raft requires of a change.
With ``n`` voters and ``q = n // 2 + 1``, step 1 goes from sets of ``q`` of the ``n`` to sets of
``q`` among the ``n - 1`` others. Step 2 goes on to sets of ``q`` among those ``n - 1`` and the new
voter; such a set has at least ``q - 1`` of the ``n - 1``, and ``q + q - 1 > n - 1``.
"""

from finchshed.consensus.group_size import with_next_voter
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Member, MemberRole, Membership
from finchshed.consensus.membership_changes import (
    append_membership,
    blocking_cause,
    is_recent,
    keeps_healthy_majority,
)
from finchshed.consensus.standby import (
    with_admitted_standby,
    with_standby_for_silent_voter,
    without_silent_standby,
)
from finchshed.consensus.state import Announcement, LeaderState, NodeState

SILENT_LEARNER_SECONDS = 5.0
"""Silence after which a learner is removed if the voter of the same name is responsive."""


def append_next_change(state: NodeState, leader_state: LeaderState) -> None:
    """Append the next membership change for repair, replacement or growth, if one is due."""
    if blocking_cause(state, leader_state) is not None:
        return
    target = _next_step(state, leader_state)
    if target is not None and keeps_healthy_majority(state, leader_state, target):
        append_membership(state, target)


def _next_step(state: NodeState, leader_state: LeaderState) -> Membership | None:
    for announcement in state.announcements.values():
        target = with_new_incarnation(state, leader_state, announcement)
        if target is not None:
            return target
    for member in state.membership.members:
        if member.role is MemberRole.LEARNER:
            target = with_learner_promoted(state, leader_state, member)
            if target is not None:
                return target
    ready = _ready_learners(state, leader_state)
    target = with_standby_for_silent_voter(state, leader_state, ready) or with_next_voter(
        state, leader_state, ready
    )
    if target is None and state.options.admits_standbys:
        return with_admitted_standby(state) or without_silent_standby(state, leader_state)
    return target


def _ready_learners(state: NodeState, leader_state: LeaderState) -> list[Member]:
    return [
        member
        for member in state.membership.members
        if member.role is MemberRole.LEARNER and has_caught_up(state, leader_state, member.identity)
    ]


def with_new_incarnation(
    state: NodeState, leader_state: LeaderState, announcement: Announcement
) -> Membership | None:
    """Return the membership with a new incarnation of an unresponsive member, or None."""
    identity = announcement.identity
    recent = is_recent(state, announcement)
    earlier = state.membership.members_named(identity.name)
    known = any(member.identity == identity for member in earlier)
    if not recent or known or not earlier:
        return None
    if any(
        _responded_since(state, leader_state, member.identity, announcement) for member in earlier
    ):
        return None
    voter = any(member.role is MemberRole.VOTER or member.promote for member in earlier)
    membership = state.membership
    for member in earlier:
        if member.role is MemberRole.LEARNER:
            membership = membership.without_member(member.identity)
    learner = Member(
        identity, announcement.address, MemberRole.LEARNER, promote=voter, zone=announcement.zone
    )
    return membership.with_member(learner)


def with_learner_promoted(
    state: NodeState, leader_state: LeaderState, learner: Member
) -> Membership | None:
    """Return the membership with ``learner`` promoted or removed, or None if it must wait."""
    identity = learner.identity
    earlier = [
        member
        for member in state.membership.members_named(identity.name)
        if member.identity != identity and member.role is MemberRole.VOTER
    ]
    if any(is_responsive(state, leader_state, member.identity) for member in earlier):
        return _without_silent_learner(state, leader_state, identity)
    if not learner.promote or not has_caught_up(state, leader_state, identity):
        return None
    voter = Member(identity, learner.address, MemberRole.VOTER, zone=learner.zone)
    membership = state.membership.with_member(voter)
    return membership.without_member(earlier[0].identity) if earlier else membership


def _without_silent_learner(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity
) -> Membership | None:
    progress = leader_state.progress.get(identity)
    if progress is None or progress.last_heard >= state.now - SILENT_LEARNER_SECONDS:
        return None
    return state.membership.without_member(identity)


def _responded_since(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity, announcement: Announcement
) -> bool:
    """Whether a member is responsive, or has responded since ``announcement`` arrived.

    An announcement older than the last response is stale and must not supersede the member.
    """
    if is_responsive(state, leader_state, identity):
        return True
    progress = leader_state.progress.get(identity)
    return progress is not None and progress.last_heard >= announcement.received_at


def is_responsive(state: NodeState, leader_state: LeaderState, identity: NodeIdentity) -> bool:
    """Whether a member replied within the minimum election timeout."""
    if identity == state.identity:
        return True
    progress = leader_state.progress.get(identity)
    since = state.now - state.options.election_timeout_min_seconds
    return progress is not None and progress.last_heard >= since


def has_caught_up(state: NodeState, leader_state: LeaderState, identity: NodeIdentity) -> bool:
    """Whether a responsive member is within the promotion lag of the leader's log."""
    progress = leader_state.progress.get(identity)
    lag = state.options.promotion_lag_entries
    return (
        progress is not None
        and is_responsive(state, leader_state, identity)
        and progress.match_index >= state.log.last_index - lag
    )
