from finchshed.consensus.membership import AddMember, RemoveMember
from finchshed.control.operators.replacement import MemberReplacement, next_step
from finchshed.control.raft.replicated_log import LogMemberRole, LogMemberStatus


def members(*texts: str) -> list[LogMemberStatus]:
    """Return members given as ``name:role``."""
    pairs = (text.split(":") for text in texts)
    return [LogMemberStatus(name, "", LogMemberRole(role)) for name, role in pairs]


GROUP = ("c1:leader", "c2:voter", "c3:voter")
REPLACE = MemberReplacement(remove="c3", add="c4")


def test_new_node_joins_before_the_old_one_leaves() -> None:
    step = next_step(members(*GROUP), REPLACE)
    assert step.change == AddMember("c4", voter=True)


def test_no_member_is_removed_while_the_new_node_catches_up() -> None:
    step = next_step(members(*GROUP, "c4:learner"), REPLACE)
    assert step.change == AddMember("c4", voter=True)
    assert not step.is_done


def test_old_node_leaves_once_the_new_one_votes() -> None:
    step = next_step(members(*GROUP, "c4:voter"), REPLACE)
    assert step.change == RemoveMember("c3")


def test_repeating_a_finished_replacement_changes_nothing() -> None:
    step = next_step(members("c1:leader", "c2:voter", "c4:voter"), REPLACE)
    assert step.is_done
    assert step.change is None


def test_member_with_a_new_disk_is_waited_for() -> None:
    step = next_step(members(*GROUP, "c3:learner"), MemberReplacement(remove="c3", add="c3"))
    assert step.change is None
    assert not step.is_done
    assert next_step(members(*GROUP), MemberReplacement(remove="c3", add="c3")).is_done


def test_standby_stays_a_learner() -> None:
    standby = MemberReplacement(add="c4", standby=True)
    assert next_step(members(*GROUP), standby).change == AddMember("c4", voter=False)
    assert next_step(members(*GROUP, "c4:standby"), standby).is_done
    assert next_step(members(*GROUP, "c4:voter"), standby).is_done


def test_replacement_of_a_voter_covered_by_a_standby_becomes_the_standby() -> None:
    group = ("c1:leader", "c2:voter", "c4:voter", "c3:standby")
    replace = MemberReplacement(remove="c3", add="c5")
    assert next_step(members(*group), replace).change == AddMember("c5", voter=False)
    assert next_step(members(*group, "c5:standby"), replace).change == RemoveMember("c3")
    assert next_step(members(*group[:3], "c5:standby"), replace).is_done


def test_standby_becomes_a_voter_by_replacing_one_or_on_request() -> None:
    group = (*GROUP, "c4:standby")
    assert next_step(members(*group), REPLACE).change == AddMember("c4", voter=True)
    assert next_step(members(*group), MemberReplacement(add="c4")).change == AddMember(
        "c4", voter=True
    )
    assert next_step(members(*GROUP, "c4:learner"), REPLACE).change == AddMember("c4", voter=True)
