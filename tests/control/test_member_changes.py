"""Log text of membership changes names only changed members."""

from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership import Member, MemberRole, Membership, as_learner
from finchshed.control.raft.member_changes import count_members, describe_change


def member(name: str) -> Member:
    return Member(NodeIdentity(name, "1"), f"{name}:1", MemberRole.VOTER, zone="a")


def test_role_change_names_the_changed_members() -> None:
    before = Membership((member("c1"), member("c2"), as_learner(member("c3"), promote=False)))
    after = (
        before.with_member(as_learner(member("c2"), promote=False))
        .with_member(as_learner(member("c3"), promote=True))
        .with_member(as_learner(member("c4"), promote=False))
    )
    assert describe_change(before, after) == (
        "c2#1 voter -> learner, c3#1 learner -> learner to be voter, c4#1 none -> learner"
    )
    assert count_members(after) == "1 voters, 3 learners"
    assert describe_change(after, after) == "no change"


def test_removed_member_is_described() -> None:
    before = Membership((member("c1"), member("c2")))
    assert describe_change(before, before.without_member(NodeIdentity("c2", "1"))) == (
        "c2#1 voter -> none"
    )
