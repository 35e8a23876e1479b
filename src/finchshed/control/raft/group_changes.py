"""Changes of role, leader and members as a node of the log sees them: logged, counted, waited for.

Owns the members as they were last logged, and the event of the next change of role or leader.
"""

import asyncio

from loguru import logger

from finchshed.consensus.effects import MembershipChanged, RoleChanged
from finchshed.consensus.membership import Membership
from finchshed.control.raft import metrics
from finchshed.control.raft.member_changes import count_members, describe_change


class GroupChanges:
    """Changes of the group at one node."""

    def __init__(self) -> None:
        self._members = Membership()
        self._role_changed = asyncio.Event()

    def on_role(self, changed: RoleChanged) -> None:
        """Note another role of this node, or another known leader."""
        logger.info("{} in term {}, leader {}", changed.role, changed.term, changed.leader)
        metrics.ROLE_CHANGES.labels(changed.role.value).inc()
        self._role_changed.set()
        self._role_changed = asyncio.Event()

    def on_members(self, changed: MembershipChanged) -> None:
        """Note other members of the group."""
        before, self._members = self._members, changed.membership
        change = describe_change(before, changed.membership)
        counts = count_members(changed.membership)
        logger.info("members at entry {}: {}; {}", changed.index, counts, change)

    async def wait_for_role(self, timeout_seconds: float) -> None:
        """Return after the role or known leader changed, or after the time."""
        changed = self._role_changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_seconds)
        except TimeoutError:
            return
