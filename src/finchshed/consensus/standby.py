"""A standby takes the place of a voter that has been silent for long.

A standby is a learner that follows the log and doesn't vote. When a voter is silent for
:attr:`~finchshed.consensus.options.RaftOptions.standby_after_seconds`, the leader makes one change
of the membership: the voter becomes a standby, and a standby that has caught up is marked for
promotion, which :mod:`finchshed.consensus.repair` finishes as it does for a new disk. The change
takes one voter out and puts none in, so it is a single-server change (chapter 4 of the Raft
dissertation), and it passes the same guard as an operator's: a majority of the voters to be must
answer and hold the committed log.

The silent voter isn't forgotten: if it comes back it follows the log as a standby. A group that was
cut for minutes so ends with as many voters as before, and nothing flips back when it heals.
"""

from collections.abc import Iterable, Sequence

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Member, MemberRole, Membership, as_learner
from finchshed.consensus.membership_changes import is_fresh
from finchshed.consensus.state import LeaderState, NodeState


def replaced_by_standby(
    state: NodeState, leading: LeaderState, ready: Iterable[Member]
) -> Membership | None:
    """Return the membership in which a standby is to vote for a silent voter, if one should.

    Parameters
    ----------
    ready
        Learners that answer and have caught up.
    """
    standbys = [member for member in ready if not member.promote]
    if not standbys:
        return None
    silent = _silent(state, leading)
    if silent is None:
        return None
    membership = state.membership.with_member(as_learner(silent, promote=False))
    chosen = best_standby(membership, leading, standbys)
    return membership.with_member(as_learner(chosen, promote=True))


def admitted_standby(state: NodeState) -> Membership | None:
    """Return the membership with a node that greets and is no member, as a standby.

    The first comes from the zone with the fewest voters: where the group is still to grow, it is
    the next to vote.
    """
    membership = state.membership
    newcomers = [
        greeting
        for greeting in state.greetings.values()
        if is_fresh(state, greeting) and not membership.named(greeting.identity.name)
    ]
    if not newcomers:
        return None
    first = min(newcomers, key=lambda new: (membership.voters_in(new.zone), new.identity))
    standby = Member(first.identity, first.address, MemberRole.LEARNER, zone=first.zone)
    return membership.with_member(standby)


def without_silent_standby(state: NodeState, leading: LeaderState) -> Membership | None:
    """Return the membership without a standby that has been silent for long: it may be gone."""
    for member in state.membership.members:
        is_standby = member.role is MemberRole.LEARNER and not member.promote
        silent = _silent_seconds(state, leading, member.identity)
        if is_standby and silent > state.options.forget_standby_seconds:
            return state.membership.without(member.identity)
    return None


def best_standby(
    membership: Membership, leading: LeaderState, standbys: Sequence[Member]
) -> Member:
    """Return the standby to promote: of the zone with the fewest voters, with the longest log."""

    def order(member: Member) -> tuple[int, int, NodeIdentity]:
        progress = leading.progress.get(member.identity)
        held = progress.match_index if progress is not None else 0
        return (-membership.voters_in(member.zone), held, member.identity)

    return max(standbys, key=order)


def _silent(state: NodeState, leading: LeaderState) -> Member | None:
    """Return the member whose place a standby should take: the one silent for longest.

    While a learner is being promoted no voter is replaced; only that learner itself may be, once
    it has gone silent too.
    """
    promoted = [member for member in state.membership.members if member.promote]
    voters = [member for member in state.membership.members if member.role is MemberRole.VOTER]
    candidates = [
        member
        for member in promoted or voters
        if len(state.membership.named(member.identity.name)) == 1
        and _silent_seconds(state, leading, member.identity) > state.options.standby_after_seconds
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda member: _silent_seconds(state, leading, member.identity))


def _silent_seconds(state: NodeState, leading: LeaderState, identity: NodeIdentity) -> float:
    """Return for how long a member has been silent, counted from the start of this leadership."""
    progress = leading.progress.get(identity)
    return 0.0 if progress is None else state.now - progress.last_heard
