"""Quotas at a control node: the leader divides limits among daemons, other nodes forward to it.

Shares are not written to the log or disk; only the set of daemons that may hold one is. A node
answers only while a quorum read that started less than :data:`LEADERSHIP_VALID_SECONDS` ago
confirmed its leadership. Two leaders can therefore overlap only briefly, which
:data:`~finchshed.quota.lease.SETTLE_SECONDS` covers. The age is checked for each message, so a
process that was suspended doesn't answer before a new read.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from finchshed.common.errors import FinchshedError
from finchshed.configuration.resources import Tenant
from finchshed.control.raft.group_log import GroupLog
from finchshed.control.raft.node_links import PeerLink
from finchshed.control.raft.node_messages import ForwardedQuota, QuotaReply
from finchshed.control.state.commands import RecordQuotaHolders
from finchshed.control.state.machine import ControlStateMachine
from finchshed.quota.allocator import QuotaAllocator
from finchshed.quota.messages import QuotaAnswer, QuotaReport, QuotaRequest
from finchshed.runtime import clock

LEADERSHIP_CHECK_SECONDS = 0.25
"""Interval between the leader's quorum reads while any tenant has a limit."""

LEADERSHIP_VALID_SECONDS = 1.0
"""Time from the start of a quorum read during which the leader answers."""


class QuotaService:
    """Answers daemons' quota requests, or forwards them to the leader.

    Parameters
    ----------
    send_to_daemon
        Sends to a daemon; returns False if it isn't connected here.
    """

    def __init__(
        self,
        machine: ControlStateMachine,
        log: GroupLog,
        send_to_daemon: Callable[[str, QuotaAnswer], bool],
    ) -> None:
        self._machine = machine
        self._log = log
        self._send_to_daemon = send_to_daemon
        self._division: QuotaAllocator | None = None
        self._term = 0
        self._revision = -1
        self._has_limits = False
        self._confirmed_at = float("-inf")

    async def run(self) -> None:
        """Confirm leadership periodically until cancelled."""
        while True:
            await self.check_leadership()
            await asyncio.sleep(LEADERSHIP_CHECK_SECONDS)

    async def check_leadership(self) -> None:
        """Confirm leadership with a quorum read if this node leads and any tenant has a limit."""
        self._configure()
        if self._has_limits and self._log.leading_term() is not None:
            await self._confirm_leadership()
        elif self._division is not None:
            self._division = None
            logger.info("stopped dividing quotas: not leader, or no tenant has a limit")

    def on_request(self, daemon: str, request: QuotaRequest) -> None:
        """Handle a report or token request of a daemon connected here."""
        if self._log.leading_term() is None:
            self._log.send_to_leader(ForwardedQuota(daemon, request))
            return
        answer = self._answer(daemon, request)
        if answer is not None:
            self._send_to_daemon(daemon, answer)

    def on_peer(self, link: PeerLink, message: ForwardedQuota | QuotaReply) -> None:
        """Handle a forwarded request or the leader's reply."""
        if isinstance(message, QuotaReply):
            self._send_to_daemon(message.daemon, message.answer)
            return
        answer = self._answer(message.daemon, message.request)
        if answer is not None:
            link.send(QuotaReply(message.daemon, answer))

    def _answer(self, daemon: str, request: QuotaRequest) -> QuotaAnswer | None:
        """Return the answer, or None if leadership isn't confirmed or the request is outdated."""
        now = clock.now()
        if (
            self._log.leading_term() != self._term
            or now >= self._confirmed_at + LEADERSHIP_VALID_SECONDS
        ):
            return None
        if self._division is None:
            return None
        self._configure()
        if isinstance(request, QuotaReport):
            return self._division.on_report(daemon, request, now)
        return self._division.on_token_request(request, now)

    async def _confirm_leadership(self) -> None:
        started_at = clock.now()
        try:
            await self._log.read_barrier()
        except FinchshedError as error:
            logger.debug("quota leadership not confirmed: {}", error)
            return
        term = self._log.leading_term()
        if term is None:
            return
        if self._division is None or term != self._term:
            self._division = QuotaAllocator(clock.now(), self._machine.quota_holders)
            self._revision = -1
            self._configure()
            logger.info("dividing quotas as leader of term {}", term)
        self._term = term
        self._confirmed_at = started_at
        self._division.tick(clock.now())
        await self._record_holders(self._division)

    async def _record_holders(self, division: QuotaAllocator) -> None:
        """Record new holders of shares in the log, and remove daemons that have expired."""
        added, removed = division.unrecorded_daemons(), division.expired_daemons(clock.now())
        if not added and not removed:
            return
        try:
            await self._log.propose(RecordQuotaHolders(added, removed))
        except FinchshedError as error:
            logger.info("cannot record holders of quota shares: {}", error)
            return
        division.on_recorded(added, removed)
        logger.info("holders of quota shares: {} added, {} removed", len(added), len(removed))

    def _configure(self) -> None:
        """Apply the tenants' limits if the configuration revision has changed."""
        store = self._machine.store
        if store.revision == self._revision:
            return
        self._revision = store.revision
        tenants = [item for item in store.resources.values() if isinstance(item, Tenant)]
        self._has_limits = any(tenant.requests_per_second for tenant in tenants)
        if self._division is not None:
            self._division.configure(tenants, self._machine.policy(), clock.now())
