"""Growth of the group to the number of voters that its fault tolerance requires.

A group is formed from a few well-known nodes. The leader then promotes standbys one at a time until
there are :attr:`~finchshed.consensus.options.RaftOptions.target_voter_count` voters. Each promotion
adds a single voter, so every quorum before it intersects every quorum after it.

An undersized group does not tolerate the required number of failures, so its leader accepts no
commands for up to :attr:`~finchshed.consensus.options.RaftOptions.growth_timeout_seconds` after its
start. After that it serves anyway, as the deployment may not have enough machines.
"""

from collections.abc import Sequence

from finchshed.consensus.membership import Member, Membership, as_learner
from finchshed.consensus.standby import best_standby
from finchshed.consensus.state import LeaderState, NodeState


def is_undersized(state: NodeState) -> bool:
    """Whether the group has fewer voters than the required fault tolerance needs."""
    return len(state.membership.voters) < state.options.target_voter_count


def is_growth_pending(state: NodeState) -> bool:
    """Whether commands are refused until the group has more voters."""
    return is_undersized(state) and state.now < state.options.growth_timeout_seconds


def with_next_voter(
    state: NodeState, leader_state: LeaderState, ready: Sequence[Member]
) -> Membership | None:
    """Return the membership with one more standby marked for promotion, or None if not needed.

    Parameters
    ----------
    ready
        Responsive learners that have caught up.
    """
    membership = state.membership
    standbys = [member for member in ready if not member.promote]
    if not standbys or membership.planned_voter_count >= state.options.target_voter_count:
        return None
    if any(member.promote for member in membership.members):
        return None
    chosen = best_standby(membership, leader_state, standbys)
    return membership.with_member(as_learner(chosen, promote=True))
