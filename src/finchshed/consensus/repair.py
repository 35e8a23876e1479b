"""Repair by the leader: a node that lost its disk comes back as a learner and is promoted.

The steps, each one change of the membership:

1. The new incarnation joins as a learner beside the old one. From then on the old one is
   superseded: it counts towards the size of the group, but no vote or acknowledgement of it does.
   The quorum is that of the whole group, and nothing is taken from the empty disk either.
2. Once the learner has caught up it takes the place of the old incarnation as a voter, in one
   change. To remove first and promote then would leave a group of three for a moment with two
   voters that must both answer; if one of them is lost just then the group stands for ever.

Every quorum before a step shares a voter with every quorum after it, as Raft asks of a change.
With ``n`` voters and ``q = n // 2 + 1``, step 1 goes from sets of ``q`` of the ``n`` to sets of
``q`` among the ``n - 1`` others. Step 2 goes on to sets of ``q`` among those ``n - 1`` and the new
voter; such a set has at least ``q - 1`` of the ``n - 1``, and ``q + q - 1 > n - 1``.
"""

from finchshed.consensus.group_size import grown
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Member, MemberRole, Membership
from finchshed.consensus.membership_changes import (
    append_membership,
    blocked_by,
    is_fresh,
    keeps_whole_majority,
)
from finchshed.consensus.standby import (
    admitted_standby,
    replaced_by_standby,
    without_silent_standby,
)
from finchshed.consensus.state import Greeting, LeaderState, NodeState

ABANDONED_SECONDS = 5.0
"""A learner silent for so long makes room if another incarnation of its name answers."""


def repair(state: NodeState, leading: LeaderState) -> None:
    """Make the next step of a repair, if one is due."""
    if blocked_by(state, leading) is not None:
        return
    wanted = _next_step(state, leading)
    if wanted is not None and keeps_whole_majority(state, leading, wanted):
        append_membership(state, wanted)


def _next_step(state: NodeState, leading: LeaderState) -> Membership | None:
    for greeting in state.greetings.values():
        wanted = _taken_in(state, leading, greeting)
        if wanted is not None:
            return wanted
    for member in state.membership.members:
        if member.role is MemberRole.LEARNER:
            wanted = _promoted(state, leading, member)
            if wanted is not None:
                return wanted
    ready = _ready_learners(state, leading)
    wanted = replaced_by_standby(state, leading, ready) or grown(state, leading, ready)
    if wanted is None and state.options.admits_standbys:
        return admitted_standby(state) or without_silent_standby(state, leading)
    return wanted


def _ready_learners(state: NodeState, leading: LeaderState) -> list[Member]:
    return [
        member
        for member in state.membership.members
        if member.role is MemberRole.LEARNER and _has_caught_up(state, leading, member.identity)
    ]


def _taken_in(state: NodeState, leading: LeaderState, greeting: Greeting) -> Membership | None:
    """Add a new incarnation of a member that no longer answers."""
    identity = greeting.identity
    fresh = is_fresh(state, greeting)
    earlier = state.membership.named(identity.name)
    known = any(member.identity == identity for member in earlier)
    if not fresh or known or not earlier:
        return None
    if any(_was_heard_since(state, leading, member.identity, greeting) for member in earlier):
        return None
    voter = any(member.role is MemberRole.VOTER or member.promote for member in earlier)
    membership = state.membership
    for member in earlier:
        if member.role is MemberRole.LEARNER:
            membership = membership.without(member.identity)
    learner = Member(
        identity, greeting.address, MemberRole.LEARNER, promote=voter, zone=greeting.zone
    )
    return membership.with_member(learner)


def _promoted(state: NodeState, leading: LeaderState, learner: Member) -> Membership | None:
    """Return the next step towards the promotion of a learner that has caught up."""
    identity = learner.identity
    earlier = [
        member
        for member in state.membership.named(identity.name)
        if member.identity != identity and member.role is MemberRole.VOTER
    ]
    if any(_answers(state, leading, member.identity) for member in earlier):
        return _without_abandoned(state, leading, identity)
    if not learner.promote or not _has_caught_up(state, leading, identity):
        return None
    voter = Member(identity, learner.address, MemberRole.VOTER, zone=learner.zone)
    membership = state.membership.with_member(voter)
    return membership.without(earlier[0].identity) if earlier else membership


def _without_abandoned(
    state: NodeState, leading: LeaderState, identity: NodeIdentity
) -> Membership | None:
    progress = leading.progress.get(identity)
    if progress is None or progress.last_heard >= state.now - ABANDONED_SECONDS:
        return None
    return state.membership.without(identity)


def _was_heard_since(
    state: NodeState, leading: LeaderState, identity: NodeIdentity, greeting: Greeting
) -> bool:
    """Whether a member answers, or answered after the greeting of another incarnation of its name.

    A greeting older than that came from an incarnation that has gone: it must not supersede.
    """
    if _answers(state, leading, identity):
        return True
    progress = leading.progress.get(identity)
    return progress is not None and progress.last_heard >= greeting.heard


def _answers(state: NodeState, leading: LeaderState, identity: NodeIdentity) -> bool:
    if identity == state.identity:
        return True
    progress = leading.progress.get(identity)
    since = state.now - state.options.election_timeout_min_seconds
    return progress is not None and progress.last_heard >= since


def _has_caught_up(state: NodeState, leading: LeaderState, identity: NodeIdentity) -> bool:
    progress = leading.progress.get(identity)
    lag = state.options.promotion_lag_entries
    return (
        progress is not None
        and _answers(state, leading, identity)
        and progress.match_index >= state.log.last_index - lag
    )
