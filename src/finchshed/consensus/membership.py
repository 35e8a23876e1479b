"""The membership of the control group, and changes of it, as values.

Owns no state; a membership is an entry of the log.
"""

import enum
from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity


class MemberRole(enum.StrEnum):
    """What a member does."""

    VOTER = "voter"
    LEARNER = "learner"


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """One member.

    Attributes
    ----------
    address
        Where its consensus messages go, ``host:port``.
    promote
        A learner that becomes a voter once it has caught up; others stay standbys.
    zone
        Zone of its machine; empty where it isn't known. Voters are spread over zones.
    """

    identity: NodeIdentity
    address: str
    role: MemberRole
    promote: bool = False
    zone: str = ""


class InitialMember(msgspec.Struct, frozen=True):
    """A node that is to be a voter when the group is formed."""

    name: str
    address: str


def as_learner(member: Member, *, promote: bool) -> Member:
    """Return a member as a learner, to be promoted or not."""
    return msgspec.structs.replace(member, role=MemberRole.LEARNER, promote=promote)


class Membership(msgspec.Struct, frozen=True):
    """All members, sorted by identity."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[NodeIdentity, ...]:
        """Identities that make up the size of the group, whether they answer or not."""
        return tuple(m.identity for m in self.members if m.role is MemberRole.VOTER)

    @property
    def counted_voters(self) -> tuple[NodeIdentity, ...]:
        """Identities whose agreement counts: voters not superseded by a new incarnation.

        A voter is superseded from the moment a learner of its name is to take its place. It still
        counts towards the size of the group, so the quorum is as large as before.
        """
        promoted = {m.identity.name for m in self.members if m.promote}
        return tuple(voter for voter in self.voters if voter.name not in promoted)

    @property
    def votes_planned(self) -> int:
        """Number of voters once the promotion under way, if any, is finished."""
        names = {m.identity.name for m in self.members if m.role is MemberRole.VOTER or m.promote}
        return len(names)

    def voters_in(self, zone: str) -> int:
        """Return how many nodes of a zone vote, or are to vote."""
        return sum(
            m.zone == zone and (m.role is MemberRole.VOTER or m.promote) for m in self.members
        )

    @property
    def quorum(self) -> int:
        """Number of counted voters that must agree: a majority of all voters."""
        return quorum_size(len(self.voters))

    def find(self, identity: NodeIdentity) -> Member | None:
        """Return the member of this identity."""
        return next((m for m in self.members if m.identity == identity), None)

    def named(self, name: str) -> tuple[Member, ...]:
        """Return the members of this name, of any incarnation."""
        return tuple(m for m in self.members if m.identity.name == name)

    def with_member(self, member: Member) -> "Membership":
        """Return the membership with ``member`` added, or replaced if its identity is there."""
        others = [m for m in self.members if m.identity != member.identity]
        return Membership(tuple(sorted([*others, member], key=lambda m: m.identity)))

    def without(self, identity: NodeIdentity) -> "Membership":
        """Return the membership without a member."""
        return Membership(tuple(m for m in self.members if m.identity != identity))


class AddMember(msgspec.Struct, frozen=True, tag="add_member"):
    """Take a node in as a learner, to be promoted to voter if ``voter``.

    The node must be running and greeting the group, so that its incarnation is known. Of a node
    that is a member already, the wish to be a voter is changed.
    """

    name: str
    voter: bool


class RemoveMember(msgspec.Struct, frozen=True, tag="remove_member"):
    """Remove every incarnation of a node, voters one at a time."""

    name: str


MembershipChange: TypeAlias = AddMember | RemoveMember


def quorum_size(voter_count: int) -> int:
    """Return the smallest number of voters that is a majority."""
    return voter_count // 2 + 1


def encode_membership(membership: Membership) -> bytes:
    """Return the membership as it is kept in an entry or snapshot."""
    return msgspec.json.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Read what :func:`encode_membership` returned."""
    return msgspec.json.decode(data, type=Membership)
