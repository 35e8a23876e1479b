"""A leader reports why a node is not a voter yet, once for each reason."""

from finchshed.consensus.effects import PromotionBlock, PromotionBlocked
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.options import RaftOptions
from tests.consensus.direct_group import DirectGroup

STEP_SECONDS = 0.05


def run_for(group: DirectGroup, seconds: float) -> None:
    until = group.now + seconds
    while group.now < until:
        group.now += STEP_SECONDS
        group.tick_all()


def blocks_of(group: DirectGroup, identity: NodeIdentity) -> list[PromotionBlock]:
    reports = group.reports[group.leader.identity.name]
    return [
        effect.block
        for effect in reports
        if isinstance(effect, PromotionBlocked) and effect.identity == identity
    ]


def test_a_new_incarnation_waits_until_the_earlier_one_is_silent() -> None:
    group = DirectGroup.formed()
    lost = group.followers[0]
    group.lose_disk(lost)
    run_for(group, 0.8)
    identity = group.nodes[lost].identity
    assert blocks_of(group, identity) == [PromotionBlock.EARLIER_INCARNATION_RESPONDS]
    run_for(group, 3.0)
    assert group.is_voter(identity)


def test_a_node_that_falls_silent_while_it_waits_is_reported_once_for_each_reason() -> None:
    group = DirectGroup.formed(RaftOptions(promotion_lag_entries=1))
    lost = group.followers[0]
    group.lose_disk(lost)
    run_for(group, 0.3)
    group.cut_off.add(lost)
    run_for(group, 4.0)
    identity = group.nodes[lost].identity
    assert blocks_of(group, identity) == [
        PromotionBlock.EARLIER_INCARNATION_RESPONDS,
        PromotionBlock.CATCHING_UP,
        PromotionBlock.SILENT,
    ]
    assert not group.is_voter(identity)


def test_the_age_of_the_leaders_last_check_is_told_by_the_leader_only() -> None:
    group = DirectGroup.formed()
    run_for(group, 1.0)
    assert group.leader.leader_check_age_seconds <= 2 * group.options.heartbeat_interval_seconds
    for name in group.followers:
        assert group.nodes[name].leader_check_age_seconds == 0.0
