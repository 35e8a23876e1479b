"""Replacement of silent voters by standbys, and admission and removal of standbys.

A standby is a learner that is not marked for promotion. When a voter has been silent for
:attr:`~finchshed.consensus.options.RaftOptions.standby_after_seconds`, one membership change turns
it into a standby and marks a caught-up standby for promotion, which
:mod:`finchshed.consensus.repair` completes. The change removes one voter and adds none, so it is a
single-server change (chapter 4 of the Raft dissertation), and it is subject to the same majority
check as a removal by an operator.

The replaced voter stays in the group: if it returns it follows the log as a standby, and the roles
are not swapped back.
"""

from collections.abc import Iterable, Sequence

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Member, MemberRole, Membership, as_learner
from finchshed.consensus.membership_changes import is_recent
from finchshed.consensus.state import LeaderState, NodeState


def with_standby_for_silent_voter(
    state: NodeState, leader_state: LeaderState, ready: Iterable[Member]
) -> Membership | None:
    """Return the membership with a standby replacing a silent voter, or None if not needed.

    Parameters
    ----------
    ready
        Responsive learners that have caught up.
    """
    standbys = [member for member in ready if not member.promote]
    if not standbys:
        return None
    silent = _longest_silent_member(state, leader_state)
    if silent is None:
        return None
    membership = state.membership.with_member(as_learner(silent, promote=False))
    chosen = best_standby(membership, leader_state, standbys)
    return membership.with_member(as_learner(chosen, promote=True))


def with_admitted_standby(state: NodeState) -> Membership | None:
    """Return the membership with an announced non-member added as a standby, or None.

    Candidates from the zone with the fewest voters come first, since a growing group promotes
    standbys to voters.
    """
    membership = state.membership
    candidates = [
        announcement
        for announcement in state.announcements.values()
        if is_recent(state, announcement)
        and not membership.members_named(announcement.identity.name)
    ]
    if not candidates:
        return None
    first = min(candidates, key=lambda new: (membership.voter_count_in(new.zone), new.identity))
    standby = Member(first.identity, first.address, MemberRole.LEARNER, zone=first.zone)
    return membership.with_member(standby)


def without_silent_standby(state: NodeState, leader_state: LeaderState) -> Membership | None:
    """Return the membership without a standby silent for too long, or None if there is none."""
    for member in state.membership.members:
        is_standby = member.role is MemberRole.LEARNER and not member.promote
        silent = _silent_seconds(state, leader_state, member.identity)
        if is_standby and silent > state.options.standby_removal_seconds:
            return state.membership.without_member(member.identity)
    return None


def best_standby(
    membership: Membership, leader_state: LeaderState, standbys: Sequence[Member]
) -> Member:
    """Return the most caught-up standby from the zone with the fewest voters."""

    def order(member: Member) -> tuple[int, int, NodeIdentity]:
        progress = leader_state.progress.get(member.identity)
        held = progress.match_index if progress is not None else 0
        return (-membership.voter_count_in(member.zone), held, member.identity)

    return max(standbys, key=order)


def _longest_silent_member(state: NodeState, leader_state: LeaderState) -> Member | None:
    """Return the member to replace: the one silent for longest, beyond the limit.

    While a learner is being promoted only that learner can be replaced, not a voter.
    """
    promoted = [member for member in state.membership.members if member.promote]
    voters = [member for member in state.membership.members if member.role is MemberRole.VOTER]
    candidates = [
        member
        for member in promoted or voters
        if len(state.membership.members_named(member.identity.name)) == 1
        and _silent_seconds(state, leader_state, member.identity)
        > state.options.standby_after_seconds
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda member: _silent_seconds(state, leader_state, member.identity))


def _silent_seconds(state: NodeState, leader_state: LeaderState, identity: NodeIdentity) -> float:
    """Return the time since a member last replied, counted from the start of this leadership."""
    progress = leader_state.progress.get(identity)
    return 0.0 if progress is None else state.now - progress.last_heard
