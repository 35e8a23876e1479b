"""Replacement of a control group member as a sequence of steps. Pure.

Each step is derived from the current members, so an interrupted replacement continues when the
operator's command is run again.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.membership import AddMember, MembershipChange, RemoveMember
from finchshed.control.raft.replicated_log import LogMemberRole, LogMemberStatus

VOTING_ROLES = (LogMemberRole.LEADER, LogMemberRole.VOTER)


@dataclass(frozen=True, slots=True)
class MemberReplacement:
    """Requested replacement: remove member ``remove`` and add member ``add``; either may be empty.

    With ``standby`` the added member stays a learner and doesn't vote.
    """

    remove: str = ""
    add: str = ""
    standby: bool = False

    def describe(self) -> str:
        """Return the flags of the operator's command."""
        parts = [f"--remove={self.remove}" if self.remove else ""]
        parts += [f"--add={self.add}" if self.add else "", "--standby" if self.standby else ""]
        return " ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class ReplacementStep:
    """Next step: a membership change, waiting (no change), or completion."""

    text: str
    change: MembershipChange | None = None
    is_done: bool = False


def next_step(
    members: Sequence[LogMemberStatus], replacement: MemberReplacement
) -> ReplacementStep:
    """Return the next step from ``members`` towards the requested replacement."""
    if replacement.add:
        step = _next_adding_step(members, replacement)
        if step is not None:
            return step
    remove = replacement.remove
    if remove and remove != replacement.add and _members_named(members, remove):
        return ReplacementStep(f"taking {remove} out", RemoveMember(remove))
    return ReplacementStep("done", is_done=True)


def explain_refusal(cause: RefusalCause, replacement: MemberReplacement) -> str:
    """Return text for the operator on why a step was refused and what to do."""
    if cause is RefusalCause.UNKNOWN_NODE:
        return f"{replacement.add} hasn't made itself known; start it, or wait"
    if cause is RefusalCause.WOULD_LOSE_QUORUM:
        return "waiting: without it too few voters would hold the whole log on a disk that answers"
    return cause.value


def _next_adding_step(
    members: Sequence[LogMemberStatus], replacement: MemberReplacement
) -> ReplacementStep | None:
    """Return the next step of adding the new member, or None if it has been added."""
    name = replacement.add
    present = _members_named(members, name)
    should_vote = _should_vote(members, replacement)
    if not present:
        kind = "a learner" if should_vote else "a standby"
        return ReplacementStep(f"putting {name} in as {kind}", AddMember(name, should_vote))
    votes = [member for member in present if member.role in VOTING_ROLES]
    if not should_vote:
        done = replacement.standby and votes
        return ReplacementStep(f"{name} is a voter already", is_done=True) if done else None
    if len(present) > 1:
        return ReplacementStep(f"{name} comes back on another disk and catches up")
    if not votes:
        entry = present[0].match_index
        return ReplacementStep(f"{name} catches up, at entry {entry}", AddMember(name, voter=True))
    return None


def _should_vote(members: Sequence[LogMemberStatus], replacement: MemberReplacement) -> bool:
    """Return whether the new member should vote: it takes the role of the member it replaces.

    After that member was removed, a new member that is a standby stays one, because the removed
    member had already lost its vote to another standby.
    """
    if replacement.standby:
        return False
    leaving = _members_named(members, replacement.remove) if replacement.remove else []
    if leaving:
        return any(member.role is not LogMemberRole.STANDBY for member in leaving)
    present = _members_named(members, replacement.add)
    joined_before = bool(replacement.remove) and bool(present)
    return not (joined_before and all(item.role is LogMemberRole.STANDBY for item in present))


def _members_named(members: Sequence[LogMemberStatus], name: str) -> list[LogMemberStatus]:
    return [member for member in members if member.name == name]
