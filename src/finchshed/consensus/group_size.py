"""How many voters the group has, and has to have.

A group is formed of few nodes that everybody knows. Where more failures must be borne than so many
voters allow, the leader promotes standbys one after the other until
:attr:`~finchshed.consensus.options.RaftOptions.target_voter_count` vote. Each promotion adds one
voter, so every quorum before it shares a voter with every quorum after it.

What a smaller group commits stands on too few disks, and two of its machines can hold it up. So its
leader takes no command while it grows, for
:attr:`~finchshed.consensus.options.RaftOptions.size_patience_seconds` after its own start: a
deployment may have fewer machines than its tolerance asks for, and must be served all the same.
"""

from collections.abc import Sequence

from finchshed.consensus.membership import Member, Membership, as_learner
from finchshed.consensus.standby import best_standby
from finchshed.consensus.state import LeaderState, NodeState


def is_short(state: NodeState) -> bool:
    """Whether fewer nodes vote than the declared tolerance asks for."""
    return len(state.membership.voters) < state.options.target_voter_count


def waits_for_growth(state: NodeState) -> bool:
    """Whether commands must wait until more nodes vote."""
    return is_short(state) and state.now < state.options.size_patience_seconds


def grown(state: NodeState, leading: LeaderState, ready: Sequence[Member]) -> Membership | None:
    """Return the membership in which one more standby is to vote, if the group is short of one.

    Parameters
    ----------
    ready
        Learners that answer and have caught up.
    """
    membership = state.membership
    standbys = [member for member in ready if not member.promote]
    if not standbys or membership.votes_planned >= state.options.target_voter_count:
        return None
    if any(member.promote for member in membership.members):
        return None
    chosen = best_standby(membership, leading, standbys)
    return membership.with_member(as_learner(chosen, promote=True))
