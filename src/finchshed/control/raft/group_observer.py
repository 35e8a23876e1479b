"""Logs and counts changes of role, leader and membership, and lets callers wait for them.

Owns the membership last logged and the event of the next role or leader change.
"""

import asyncio

from loguru import logger

from finchshed.consensus.effects import MembershipChanged, PromotionBlocked, RoleChanged
from finchshed.consensus.membership import Membership
from finchshed.control.raft import metrics
from finchshed.control.raft.member_changes import count_members, describe_change


class GroupObserver:
    """Observes role, leader and membership changes at one node."""

    def __init__(self) -> None:
        self._members = Membership()
        self._role_changed = asyncio.Event()

    def on_role_changed(self, changed: RoleChanged) -> None:
        """Record a new role of this node or a new known leader."""
        logger.info(
            "role is {} in term {}, leader is {}", changed.role, changed.term, changed.leader
        )
        metrics.ROLE_CHANGES.labels(changed.role.value).inc()
        self._role_changed.set()
        self._role_changed = asyncio.Event()

    def on_membership_changed(self, changed: MembershipChanged) -> None:
        """Record a new membership of the group."""
        before, self._members = self._members, changed.membership
        change = describe_change(before, changed.membership)
        counts = count_members(changed.membership)
        logger.info("membership at log index {}: {}; {}", changed.index, counts, change)

    def on_promotion_blocked(self, blocked: PromotionBlocked) -> None:
        """Record why a node is not a voter yet."""
        logger.info("{} is not a voter yet: {}", blocked.identity, blocked.block)

    async def wait_for_role_change(self, timeout_seconds: float) -> None:
        """Return when the role or known leader changes, or after the timeout."""
        changed = self._role_changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return
