"""Membership of the control group and requested changes to it.

Memberships are stored as log entries.
"""

import enum
from typing import TypeAlias

import msgspec

from finchshed.consensus.identity import NodeIdentity


class MemberRole(enum.StrEnum):
    """Role of a member; learners replicate the log without voting."""

    VOTER = "voter"
    LEARNER = "learner"


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """A node of the group and its role.

    Attributes
    ----------
    address
        ``host:port`` for consensus messages.
    promote
        Whether a learner becomes a voter once it has caught up; other learners are standbys.
    zone
        Zone of its machine, empty if unknown. Voters are spread over zones.
    """

    identity: NodeIdentity
    address: str
    role: MemberRole
    promote: bool = False
    zone: str = ""


class InitialMember(msgspec.Struct, frozen=True):
    """A node that becomes a voter when the group is formed."""

    name: str
    address: str


def as_learner(member: Member, *, promote: bool) -> Member:
    """Return ``member`` as a learner, marked for promotion if ``promote``."""
    return msgspec.structs.replace(member, role=MemberRole.LEARNER, promote=promote)


class Membership(msgspec.Struct, frozen=True):
    """The members of the group, sorted by identity."""

    members: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[NodeIdentity, ...]:
        """Identities of all voters, including superseded ones; determines the quorum size."""
        return tuple(m.identity for m in self.members if m.role is MemberRole.VOTER)

    @property
    def counted_voters(self) -> tuple[NodeIdentity, ...]:
        """Voters whose votes and acknowledgements count: those not superseded.

        A voter is superseded once a learner of the same name is marked for promotion. It still
        counts towards the group size, so the quorum size is unchanged.
        """
        promoted = {m.identity.name for m in self.members if m.promote}
        return tuple(voter for voter in self.voters if voter.name not in promoted)

    @property
    def planned_voter_count(self) -> int:
        """Number of voters once all promotions in progress are finished."""
        names = {m.identity.name for m in self.members if m.role is MemberRole.VOTER or m.promote}
        return len(names)

    def voter_count_in(self, zone: str) -> int:
        """Return the number of voters in a zone, including learners marked for promotion."""
        return sum(
            m.zone == zone and (m.role is MemberRole.VOTER or m.promote) for m in self.members
        )

    @property
    def quorum(self) -> int:
        """Number of counted voters that must agree: a majority of :attr:`voters`."""
        return quorum_size(len(self.voters))

    def find(self, identity: NodeIdentity) -> Member | None:
        """Return the member with this identity, or None."""
        return next((m for m in self.members if m.identity == identity), None)

    def members_named(self, name: str) -> tuple[Member, ...]:
        """Return the members with this name, of any incarnation."""
        return tuple(m for m in self.members if m.identity.name == name)

    def with_member(self, member: Member) -> "Membership":
        """Return the membership with ``member`` added, or replaced if its identity is present."""
        others = [m for m in self.members if m.identity != member.identity]
        return Membership(tuple(sorted([*others, member], key=lambda m: m.identity)))

    def without_member(self, identity: NodeIdentity) -> "Membership":
        """Return the membership without the member of this identity."""
        return Membership(tuple(m for m in self.members if m.identity != identity))


class AddMember(msgspec.Struct, frozen=True, tag="add_member"):
    """Add a node as a learner, to be promoted to voter if ``voter``.

    The node must be running and announcing itself, so that its incarnation is known. For an
    existing member the requested role is updated.
    """

    name: str
    voter: bool


class RemoveMember(msgspec.Struct, frozen=True, tag="remove_member"):
    """Remove all incarnations of a node, but at most one voter per change."""

    name: str


MembershipChange: TypeAlias = AddMember | RemoveMember


def quorum_size(voter_count: int) -> int:
    """Return the size of a majority of ``voter_count`` voters."""
    return voter_count // 2 + 1


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership for a log entry or snapshot."""
    return msgspec.json.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode the output of :func:`encode_membership`."""
    return msgspec.json.decode(data, type=Membership)
