"""Reports why a node that is to become a voter is not one yet.

Such a node is a learner marked for promotion, or a new incarnation of a member that announced
itself and has not been admitted. A leader reports each one whenever the reason changes.
"""

from finchshed.consensus import repair
from finchshed.consensus.effects import PromotionBlock, PromotionBlocked, RefusalCause
from finchshed.consensus.identity import NodeIdentity
from finchshed.consensus.membership_changes import blocking_cause, is_recent, keeps_healthy_majority
from finchshed.consensus.state import LeaderState, NodeState, ReportedBlock

_MIN_REPORT_INTERVAL_SECONDS = 1.0
"""Minimum time between two reports on one node; bounds the log if its reason alternates."""


def report_promotion_blocks(state: NodeState, leader_state: LeaderState) -> None:
    """Report each node that waits to become a voter and whose reason is new."""
    reported: dict[NodeIdentity, ReportedBlock] = {}
    for identity in waiting_nodes(state):
        last = leader_state.reported_blocks.get(identity)
        reported[identity] = _report(
            state, identity, _block_of(state, leader_state, identity), last
        )
    leader_state.reported_blocks = reported


def waiting_nodes(state: NodeState) -> list[NodeIdentity]:
    """Return the nodes that are to become voters and are none, in order of identity."""
    membership = state.membership
    learners = {member.identity for member in membership.members if member.promote}
    announced = {
        announcement.identity
        for announcement in state.announcements.values()
        if is_recent(state, announcement)
        and membership.find(announcement.identity) is None
        and any(
            member.identity in membership.voters or member.promote
            for member in membership.members_named(announcement.identity.name)
        )
    }
    return sorted(learners | announced)


def _report(
    state: NodeState, identity: NodeIdentity, block: PromotionBlock, last: ReportedBlock | None
) -> ReportedBlock:
    if last is not None:
        is_too_soon = state.now < last.reported_at + _MIN_REPORT_INTERVAL_SECONDS
        if block is last.block or is_too_soon:
            return last
    state.effects.append(PromotionBlocked(identity, block))
    return ReportedBlock(block, state.now)


def _block_of(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity
) -> PromotionBlock:
    cause = blocking_cause(state, leader_state)
    if cause is RefusalCause.NOT_READY:
        return PromotionBlock.LEADER_NOT_READY
    if cause is not None:
        return PromotionBlock.CHANGE_IN_PROGRESS
    learner = state.membership.find(identity)
    if learner is None:
        return _block_of_announced(state, leader_state, identity)
    if not repair.is_responsive(state, leader_state, identity):
        return PromotionBlock.SILENT
    if not repair.has_caught_up(state, leader_state, identity):
        return PromotionBlock.CATCHING_UP
    target = repair.with_learner_promoted(state, leader_state, learner)
    if target is None:
        return PromotionBlock.EARLIER_INCARNATION_RESPONDS
    return _block_of_due_change(keeps_healthy_majority(state, leader_state, target))


def _block_of_announced(
    state: NodeState, leader_state: LeaderState, identity: NodeIdentity
) -> PromotionBlock:
    announcement = state.announcements[identity]
    target = repair.with_new_incarnation(state, leader_state, announcement)
    if target is None:
        return PromotionBlock.EARLIER_INCARNATION_RESPONDS
    return _block_of_due_change(keeps_healthy_majority(state, leader_state, target))


def _block_of_due_change(keeps_majority: bool) -> PromotionBlock:
    return PromotionBlock.NEXT_CHECK if keeps_majority else PromotionBlock.WOULD_LOSE_QUORUM
