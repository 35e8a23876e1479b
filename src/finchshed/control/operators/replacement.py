"""Replacement of a control node as a sequence of small steps. Pure.

Each step follows from the members as they are, so the operator's command may stop anywhere and be
run again: it goes on where the group is.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.membership import AddMember, MembershipChange, RemoveMember
from finchshed.control.raft.replicated_log import LogMemberRole, LogMemberStatus

VOTING = (LogMemberRole.LEADER, LogMemberRole.VOTER)


@dataclass(frozen=True, slots=True)
class Replacement:
    """Take ``remove`` out and put ``add`` in; either may be empty.

    ``standby``: the node put in stays a learner and doesn't vote.
    """

    remove: str = ""
    add: str = ""
    standby: bool = False

    def describe(self) -> str:
        """Return it in the words of the command line."""
        parts = [f"--remove={self.remove}" if self.remove else ""]
        parts += [f"--add={self.add}" if self.add else "", "--standby" if self.standby else ""]
        return " ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class Step:
    """What is to be done next: a change, waiting (no change), or nothing more."""

    text: str
    change: MembershipChange | None = None
    is_done: bool = False


def next_step(members: Sequence[LogMemberStatus], replacement: Replacement) -> Step:
    """Return the next step that brings ``members`` to what ``replacement`` asks for."""
    if replacement.add:
        step = _step_of_adding(members, replacement)
        if step is not None:
            return step
    remove = replacement.remove
    if remove and remove != replacement.add and _named(members, remove):
        return Step(f"taking {remove} out", RemoveMember(remove))
    return Step("done", is_done=True)


def explain_refusal(cause: RefusalCause, replacement: Replacement) -> str:
    """Return what an operator can do about a refused step."""
    if cause is RefusalCause.UNKNOWN_NODE:
        return f"{replacement.add} hasn't made itself known; start it, or wait"
    if cause is RefusalCause.WOULD_LOSE_QUORUM:
        return "waiting: without it too few voters would hold the whole log on a disk that answers"
    return cause.value


def _step_of_adding(members: Sequence[LogMemberStatus], replacement: Replacement) -> Step | None:
    """Return the next step of putting the new member in, or None when it is in."""
    name = replacement.add
    present = _named(members, name)
    shall_vote = _shall_vote(members, replacement)
    if not present:
        kind = "a learner" if shall_vote else "a standby"
        return Step(f"putting {name} in as {kind}", AddMember(name, shall_vote))
    votes = [member for member in present if member.role in VOTING]
    if not shall_vote:
        done = replacement.standby and votes
        return Step(f"{name} is a voter already", is_done=True) if done else None
    if len(present) > 1:
        return Step(f"{name} comes back on another disk and catches up")
    if not votes:
        entry = present[0].match_index
        return Step(f"{name} catches up, at entry {entry}", AddMember(name, voter=True))
    return None


def _shall_vote(members: Sequence[LogMemberStatus], replacement: Replacement) -> bool:
    """Whether the new member is to vote: it takes the role of the one it replaces.

    A standby that the replaced one left behind stays one: the replaced member had lost its vote to
    another standby before.
    """
    if replacement.standby:
        return False
    leaving = _named(members, replacement.remove) if replacement.remove else []
    if leaving:
        return any(member.role is not LogMemberRole.STANDBY for member in leaving)
    present = _named(members, replacement.add)
    took_the_place = bool(replacement.remove) and bool(present)
    return not (took_the_place and all(item.role is LogMemberRole.STANDBY for item in present))


def _named(members: Sequence[LogMemberStatus], name: str) -> list[LogMemberStatus]:
    return [member for member in members if member.name == name]
