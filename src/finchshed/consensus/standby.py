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

from collections.abc import Iterable

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Member, MemberRole, Membership
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
    standby = max(standbys, key=lambda member: _order(leading, member))
    silent = _silent(state, leading)
    if silent is None:
        return None
    waiting = _learner(silent, promote=False)
    chosen = _learner(standby, promote=True)
    return state.membership.with_member(waiting).with_member(chosen)


def admitted_standby(state: NodeState) -> Membership | None:
    """Return the membership with a node that greets and is no member, as a standby."""
    for greeting in state.greetings.values():
        identity = greeting.identity
        if is_fresh(state, greeting) and not state.membership.named(identity.name):
            standby = Member(identity, greeting.address, MemberRole.LEARNER)
            return state.membership.with_member(standby)
    return None


def without_silent_standby(state: NodeState, leading: LeaderState) -> Membership | None:
    """Return the membership without a standby that has been silent for long: it may be gone."""
    for member in state.membership.members:
        is_standby = member.role is MemberRole.LEARNER and not member.promote
        silent = _silent_seconds(state, leading, member.identity)
        if is_standby and silent > state.options.forget_standby_seconds:
            return state.membership.without(member.identity)
    return None


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


def _order(leading: LeaderState, member: Member) -> tuple[int, NodeIdentity]:
    progress = leading.progress.get(member.identity)
    return (progress.match_index if progress is not None else 0, member.identity)


def _learner(member: Member, *, promote: bool) -> Member:
    return Member(member.identity, member.address, MemberRole.LEARNER, promote=promote)
