"""Replicated log client of a control node: retries requests until a leader commits them.

Commands are idempotent (each carries a change or attempt identifier), so retrying after a lost
reply or a leader change has no further effect.

Relies on :mod:`finchshed.control.raft.host` for the local Raft node and on
:mod:`finchshed.control.raft.forwarding` to reach the leader.
"""

import asyncio
import random
from collections.abc import Callable

from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.membership import Member, MemberRole, MembershipChange
from finchshed.control.background import BackgroundTasks
from finchshed.control.operators.replacement import MemberReplacement, explain_refusal, next_step
from finchshed.control.raft.forwarding import LeaderForwarding
from finchshed.control.raft.host import RaftHost
from finchshed.control.raft.leader_retries import LeaderRetries
from finchshed.control.raft.node_links import ControlNodeLinks, PeerLink
from finchshed.control.raft.node_messages import (
    DirectoryReport,
    ForwardedChange,
    ForwardedCommand,
    ForwardedQuota,
    ForwardReply,
    PeerMessage,
    QuotaReply,
    RaftMessage,
)
from finchshed.control.raft.pending_outcomes import OutcomeUnknownError, RequestRejectedError
from finchshed.control.raft.replicated_log import LogMemberRole, LogMemberStatus, LogStatus
from finchshed.control.state.commands import Command, CommandResult
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.status import InForceReport
from finchshed.quarantine.messages import CrashNews

PERMANENT_REFUSALS = frozenset({RefusalCause.UNKNOWN_NODE, RefusalCause.WOULD_LOSE_QUORUM})
"""Causes for which a refused membership change is not retried."""


class GroupLog:
    """Implements :class:`finchshed.control.raft.replicated_log.ReplicatedLog` over a Raft group.

    Parameters
    ----------
    timeout_seconds
        Timeout of one request, including retries.
    """

    def __init__(
        self,
        host: RaftHost,
        machine: ControlStateMachine,
        background: BackgroundTasks,
        timeout_seconds: float,
    ) -> None:
        self._host = host
        self._machine = machine
        self._background = background
        self._timeout_seconds = timeout_seconds
        self._links: ControlNodeLinks | None = None
        self._rng = random.Random()
        self._forwarding = LeaderForwarding(host, timeout_seconds)
        self.on_report: Callable[[InForceReport], None] = _ignore
        self.on_directory: Callable[[DirectoryReport], None] = _ignore
        self.on_crash_news: Callable[[CrashNews], None] = _ignore
        self.on_quota: Callable[[PeerLink, ForwardedQuota | QuotaReply], None] = _ignore_quota

    def start(self, links: ControlNodeLinks) -> None:
        """Join the group over ``links``."""
        self._links = links
        self._forwarding.start(links)
        self._host.start(links)

    async def propose(self, command: Command) -> CommandResult:
        """Commit ``command`` through the leader; see :class:`ReplicatedLog`."""
        retries = LeaderRetries(self._host, self._timeout_seconds, self._rng)
        while True:
            try:
                return await asyncio.wait_for(
                    self._forwarding.propose(command), retries.remaining()
                )
            except (RequestRejectedError, OutcomeUnknownError, TimeoutError) as error:
                await retries.pause(error)

    async def change_membership(self, change: MembershipChange) -> None:
        """Commit a membership change through the leader.

        Raises
        ------
        RequestRejectedError
            The leader refused it for a cause that retrying doesn't resolve.
        ControlUnavailableError
            No leader accepted it in time.
        """
        retries = LeaderRetries(self._host, self._timeout_seconds, self._rng)
        while True:
            try:
                await asyncio.wait_for(
                    self._forwarding.change_membership(change), retries.remaining()
                )
            except RequestRejectedError as error:
                if error.cause in PERMANENT_REFUSALS:
                    raise
                await retries.pause(error)
            except (OutcomeUnknownError, TimeoutError) as error:
                await retries.pause(error)
            else:
                return

    async def read_barrier(self) -> None:
        """Return once every entry committed before the call is applied here."""
        retries = LeaderRetries(self._host, self._timeout_seconds, self._rng)
        while True:
            try:
                await asyncio.wait_for(self._host.read(), retries.remaining())
            except (RequestRejectedError, OutcomeUnknownError, TimeoutError) as error:
                await retries.pause(error)
            else:
                return

    def in_contact(self) -> bool:
        """Return whether this node can keep up with committed entries.

        Requires a known leader with recent quorum contact and a disk that accepts writes. A node
        without these would keep its daemons on an old revision.
        """
        return self._host.node.leader is not None and self._host.can_write

    def send_report(self, report: InForceReport | DirectoryReport | CrashNews) -> None:
        """Send a status, directory or crash report to every other member."""
        if self._links is None:
            return
        for member in self._host.node.membership.members:
            if member.identity.name != self._host.node.identity.name:
                self._links.send(member.address, report)

    def leading_term(self) -> int | None:
        """Return the current term if this node leads, or None."""
        return self._host.node.term if self._host.is_leader else None

    def send_to_leader(self, message: ForwardedQuota) -> bool:
        """Send to the known leader; return False if there is none or the message was dropped."""
        address = self._host.node.leader_address
        if self._links is None or self._host.is_leader or not address:
            return False
        return self._links.send(address, message)

    def status(self) -> LogStatus:
        """Return the state of the log at this node."""
        node = self._host.node
        status_by_identity = {status.member.identity: status for status in node.member_statuses()}
        members = []
        for member in node.membership.members:
            role = LogMemberRole.LEADER if member.identity == node.leader else _role_of(member)
            status = status_by_identity.get(member.identity)
            members.append(
                LogMemberStatus(
                    name=member.identity.name,
                    address=member.address,
                    role=role,
                    incarnation=member.identity.incarnation,
                    match_index=status.match_index if status else 0,
                    silent_seconds=status.silent_seconds if status else -1.0,
                )
            )
        return LogStatus(
            node=node.identity.name,
            leader=node.leader.name if node.leader else "",
            term=node.term,
            commit_index=node.commit_index,
            applied_index=self._machine.applied_index,
            members=tuple(members),
        )

    def on_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Handle a message of another control node."""
        if isinstance(message, RaftMessage):
            self._host.receive(message.envelope)
        elif isinstance(message, ForwardedCommand | ForwardedChange):
            self._background.spawn(self._forwarding.serve(link, message))
        elif isinstance(message, ForwardReply):
            self._forwarding.on_reply(message)
        elif isinstance(message, InForceReport):
            self.on_report(message)
        elif isinstance(message, DirectoryReport):
            self.on_directory(message)
        elif isinstance(message, CrashNews):
            self.on_crash_news(message)
        elif isinstance(message, ForwardedQuota | QuotaReply):
            self.on_quota(link, message)

    async def replace_member(self, replacement: MemberReplacement) -> tuple[bool, str]:
        """Execute the next step of a replacement; return whether it is done and a description."""
        await self.read_barrier()
        step = next_step(self.status().members, replacement)
        if step.change is None:
            return step.is_done, step.text
        try:
            await self.change_membership(step.change)
        except RequestRejectedError as error:
            return False, f"{step.text}: {explain_refusal(error.cause, replacement)}"
        return False, step.text


def _role_of(member: Member) -> LogMemberRole:
    if member.role is MemberRole.VOTER:
        return LogMemberRole.VOTER
    return LogMemberRole.LEARNER if member.promote else LogMemberRole.STANDBY


def _ignore(_report: InForceReport | DirectoryReport | CrashNews) -> None:
    """Default handler until the distribution service is connected."""


def _ignore_quota(_link: PeerLink, _message: ForwardedQuota | QuotaReply) -> None:
    """Default handler until the quota service is connected."""
