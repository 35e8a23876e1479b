"""Text of membership changes for the log. Pure."""

from finchshed.consensus.membership import Member, MemberRole, Membership


def count_members(membership: Membership) -> str:
    """Return the number of voters and learners as text."""
    voters = len(membership.voters)
    return f"{voters} voters, {len(membership.members) - voters} learners"


def describe_change(before: Membership, after: Membership) -> str:
    """Return the role change of each changed member, ordered by identity."""
    earlier = {member.identity: member for member in before.members}
    later = {member.identity: member for member in after.members}
    changes = [
        f"{identity} {_role_of(earlier.get(identity))} -> {_role_of(later.get(identity))}"
        for identity in sorted(earlier.keys() | later.keys())
        if earlier.get(identity) != later.get(identity)
    ]
    return ", ".join(changes) or "no change"


def _role_of(member: Member | None) -> str:
    if member is None:
        return "none"
    if member.role is MemberRole.LEARNER and member.promote:
        return "learner to be voter"
    return member.role.value
