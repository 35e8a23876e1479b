"""Quotas at a control node: the leader divides, the others pass on.

Nothing of it is written to the log or a disk. A node divides limits only while a read from a quorum
that began less than :data:`CONFIRMED_SECONDS` ago showed that it leads, so two leaders divide side
by side for a moment only; :data:`~finchshed.quota.lease.SETTLE_SECONDS` covers it. That is
looked at when a message is answered: a process that stood still answers none until it has read
again.
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

CONFIRM_SECONDS = 0.25
"""Time between the leader's reads from a quorum while any tenant has a limit."""

CONFIRMED_SECONDS = 1.0
"""A leader divides for this long after the beginning of such a read."""


class QuotaService:
    """Answers daemons' reports and asks, or has the leader answer them.

    Parameters
    ----------
    send_to_daemon
        Sends to a daemon connected here; returns whether it is.
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
        """Show, for as long as the node runs and leads, that it does."""
        while True:
            await self.show_once()
            await asyncio.sleep(CONFIRM_SECONDS)

    async def show_once(self) -> None:
        """Read from a quorum if this node leads and there is a limit to divide."""
        self._configure()
        if self._has_limits and self._log.leading_term() is not None:
            await self._confirm()
        elif self._division is not None:
            self._division = None
            logger.info("quotas are divided here no more")

    def on_request(self, daemon: str, request: QuotaRequest) -> None:
        """Take a report or an ask of a daemon connected here."""
        if self._log.leading_term() is None:
            self._log.send_to_leader(ForwardedQuota(daemon, request))
            return
        answer = self._answer(daemon, request)
        if answer is not None:
            self._send_to_daemon(daemon, answer)

    def on_peer(self, link: PeerLink, message: ForwardedQuota | QuotaReply) -> None:
        """Take what another control node passes on."""
        if isinstance(message, QuotaReply):
            self._send_to_daemon(message.daemon, message.answer)
            return
        answer = self._answer(message.daemon, message.request)
        if answer is not None:
            link.send(QuotaReply(message.daemon, answer))

    def _answer(self, daemon: str, request: QuotaRequest) -> QuotaAnswer | None:
        """Return the leader's answer; None: this node doesn't surely lead, or it is an old line."""
        now = clock.now()
        if self._log.leading_term() != self._term or now >= self._confirmed_at + CONFIRMED_SECONDS:
            return None
        if self._division is None:
            return None
        self._configure()
        if isinstance(request, QuotaReport):
            return self._division.on_report(daemon, request, now)
        return self._division.on_ask(request, now)

    async def _confirm(self) -> None:
        began = clock.now()
        try:
            await self._log.read_barrier()
        except FinchshedError as error:
            logger.debug("quotas are not divided, no quorum answers: {}", error)
            return
        term = self._log.leading_term()
        if term is None:
            return
        if self._division is None or term != self._term:
            self._division = QuotaAllocator(clock.now(), self._machine.quota_holders)
            self._revision = -1
            self._configure()
            logger.info("quotas are divided here, term {}", term)
        self._term = term
        self._confirmed_at = began
        self._division.tick(clock.now())
        await self._note_holders(self._division)

    async def _note_holders(self, division: QuotaAllocator) -> None:
        """Have the log note the daemons that get shares from now on, and drop those long gone."""
        added, removed = division.unrecorded_daemons(), division.expired_daemons(clock.now())
        if not added and not removed:
            return
        try:
            await self._log.propose(RecordQuotaHolders(added, removed))
        except FinchshedError as error:
            logger.info("daemons that want shares of quotas could not be noted: {}", error)
            return
        division.on_recorded(added, removed)
        logger.info("shares of quotas: {} daemons more, {} less", len(added), len(removed))

    def _configure(self) -> None:
        """Take the limits of the configuration in force, if they are others."""
        store = self._machine.store
        if store.revision == self._revision:
            return
        self._revision = store.revision
        tenants = [item for item in store.resources.values() if isinstance(item, Tenant)]
        self._has_limits = any(tenant.requests_per_second for tenant in tenants)
        if self._division is not None:
            self._division.configure(tenants, self._machine.policy(), clock.now())
