"""The replicated log as seen from any control node: the leader is found, and asked again.

Commands name themselves (a change its identity, a ledger request its attempt), so sending one
again after a lost answer or a change of leader has no second effect.
"""

import asyncio
import random
from collections.abc import Callable

from finchshed.common.errors import ControlUnavailableError
from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.membership import Member, MembershipChange
from finchshed.consensus.membership import MemberRole as GroupRole
from finchshed.control.background import Background
from finchshed.control.operators.replacement import Replacement, explain_refusal, next_step
from finchshed.control.raft.host import RaftHost
from finchshed.control.raft.node_links import PeerLink, PeerLinks
from finchshed.control.raft.node_messages import (
    DirectoryReport,
    ForwardedChange,
    ForwardedCommand,
    ForwardedQuota,
    ForwardOutcome,
    ForwardReply,
    PeerMessage,
    QuotaReply,
    RaftLine,
)
from finchshed.control.raft.pending_outcomes import NotTakenError, UndecidedError
from finchshed.control.raft.replicated_log import LogStatus, MemberRole, MemberStatus
from finchshed.control.state.commands import Command, CommandResult
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.status import InForceReport
from finchshed.quarantine.messages import CrashNews

FIRST_PAUSE_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 0.5
FORWARD_SHARE = 0.375
"""A forwarded request unanswered for this part of its time is sent again.

The line may be lost, and there must be time left for the answer to the second one.
"""

FINAL_CAUSES = frozenset({RefusalCause.UNKNOWN_NODE, RefusalCause.WOULD_LOSE_QUORUM})


class GroupLog:
    """Implements :class:`finchshed.control.raft.replicated_log.ReplicatedLog` over a group.

    Parameters
    ----------
    timeout_seconds
        Longest time for one request over all of its tries.
    """

    def __init__(
        self,
        host: RaftHost,
        machine: ControlStateMachine,
        background: Background,
        timeout_seconds: float,
    ) -> None:
        self._host = host
        self._machine = machine
        self._background = background
        self._timeout = timeout_seconds
        self._links: PeerLinks | None = None
        self._rng = random.Random()
        self._last_request = 0
        self._forwarded: dict[int, asyncio.Future[ForwardReply]] = {}
        self.on_report: Callable[[InForceReport], None] = _ignore
        self.on_directory: Callable[[DirectoryReport], None] = _ignore
        self.on_crash_news: Callable[[CrashNews], None] = _ignore
        self.on_quota: Callable[[PeerLink, ForwardedQuota | QuotaReply], None] = _ignore_quota

    def start(self, links: PeerLinks) -> None:
        """Take part in the group over ``links``."""
        self._links = links
        self._host.start(links)

    async def propose(self, command: Command) -> CommandResult:
        """Commit ``command`` through the leader; see :class:`ReplicatedLog`."""
        retries = _Retries(self._host, self._timeout, self._rng)
        while True:
            try:
                return await asyncio.wait_for(self._propose_once(command), retries.remaining())
            except (NotTakenError, UndecidedError, TimeoutError) as error:
                await retries.pause(error)

    async def change_membership(self, change: MembershipChange) -> None:
        """Commit a change of members through the leader.

        Raises
        ------
        NotTakenError
            The leader refused it, for a cause that trying again doesn't cure.
        ControlUnavailableError
            No leader took it in time.
        """
        retries = _Retries(self._host, self._timeout, self._rng)
        while True:
            try:
                await asyncio.wait_for(self._change_once(change), retries.remaining())
            except NotTakenError as error:
                if error.cause in FINAL_CAUSES:
                    raise
                await retries.pause(error)
            except (UndecidedError, TimeoutError) as error:
                await retries.pause(error)
            else:
                return

    async def read_barrier(self) -> None:
        """Return once all that was committed before the call is applied here."""
        retries = _Retries(self._host, self._timeout, self._rng)
        while True:
            try:
                await asyncio.wait_for(self._host.read(), retries.remaining())
            except (NotTakenError, UndecidedError, TimeoutError) as error:
                await retries.pause(error)
            else:
                return

    def in_contact(self) -> bool:
        """Return whether what is committed is applied here soon.

        A leader must be known, which has heard of a quorum not long ago, and the disk must take
        writes: otherwise daemons would be kept on an old revision by a node that can't go on.
        """
        return self._host.node.leader is not None and self._host.can_write

    def send_report(self, report: InForceReport | DirectoryReport | CrashNews) -> None:
        """Send a report of daemons, back ends or crashes to every other member."""
        if self._links is None:
            return
        for member in self._host.node.membership.members:
            if member.identity.name != self._host.node.identity.name:
                self._links.send(member.address, report)

    def leading_term(self) -> int | None:
        """Return the term in which this node leads, or None."""
        return self._host.node.term if self._host.is_leader else None

    def send_to_leader(self, message: ForwardedQuota) -> bool:
        """Send to the leader that is known; return whether there is one."""
        address = self._host.node.leader_address
        if self._links is None or self._host.is_leader or not address:
            return False
        return self._links.send(address, message)

    def status(self) -> LogStatus:
        """Return the state of the log at this node."""
        node = self._host.node
        known = {status.member.identity: status for status in node.member_statuses()}
        members = []
        for member in node.membership.members:
            role = MemberRole.LEADER if member.identity == node.leader else _role_of(member)
            status = known.get(member.identity)
            members.append(
                MemberStatus(
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
        """Take a message of another control node."""
        if isinstance(message, RaftLine):
            self._host.receive(message.envelope)
        elif isinstance(message, ForwardedCommand | ForwardedChange):
            self._background.spawn(self._answer(link, message))
        elif isinstance(message, ForwardReply):
            future = self._forwarded.get(message.request)
            if future is not None and not future.done():
                future.set_result(message)
        elif isinstance(message, InForceReport):
            self.on_report(message)
        elif isinstance(message, DirectoryReport):
            self.on_directory(message)
        elif isinstance(message, CrashNews):
            self.on_crash_news(message)
        elif isinstance(message, ForwardedQuota | QuotaReply):
            self.on_quota(link, message)

    async def _propose_once(self, command: Command) -> CommandResult:
        if self._host.is_leader:
            return await self._host.propose(command)
        reply = await self._forward(ForwardedCommand(self._new_request(), command))
        if reply.result is None:
            raise UndecidedError("the leader answered without a result")
        return reply.result

    async def _change_once(self, change: MembershipChange) -> None:
        if self._host.is_leader:
            await self._host.change_membership(change)
        else:
            await self._forward(ForwardedChange(self._new_request(), change))

    def _new_request(self) -> int:
        self._last_request += 1
        return self._last_request

    async def _forward(self, message: ForwardedCommand | ForwardedChange) -> ForwardReply:
        """Have the leader answer.

        What comes to it twice changes nothing more than what comes once, but that the note of an
        operator's action may then stand twice.
        """
        future: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self._forwarded[message.request] = future
        try:
            reply = await self._send_until_answered(message, future)
        finally:
            del self._forwarded[message.request]
        if reply.outcome is ForwardOutcome.NOT_TAKEN:
            raise NotTakenError(RefusalCause(reply.detail))
        if reply.outcome is ForwardOutcome.UNKNOWN:
            raise UndecidedError(reply.detail)
        return reply

    async def _send_until_answered(
        self, message: ForwardedCommand | ForwardedChange, answer: asyncio.Future[ForwardReply]
    ) -> ForwardReply:
        """Send until an answer to any of the sendings came; the caller bounds the time."""
        while True:
            address = self._host.node.leader_address
            if self._host.is_leader or not address or self._links is None:
                raise NotTakenError(RefusalCause.NOT_LEADER)
            if not self._links.send(address, message):
                raise NotTakenError(RefusalCause.NOT_LEADER)
            done, _ = await asyncio.wait((answer,), timeout=FORWARD_SHARE * self._timeout)
            if done:
                return answer.result()

    async def _answer(self, link: PeerLink, message: ForwardedCommand | ForwardedChange) -> None:
        request = message.request
        try:
            result = None
            if isinstance(message, ForwardedCommand):
                result = await self._host.propose(message.command)
            else:
                await self._host.change_membership(message.change)
        except NotTakenError as error:
            link.send(ForwardReply(request, ForwardOutcome.NOT_TAKEN, detail=str(error)))
        except UndecidedError as error:
            link.send(ForwardReply(request, ForwardOutcome.UNKNOWN, detail=str(error)))
        else:
            link.send(ForwardReply(request, ForwardOutcome.DONE, result))

    async def replace_member(self, replacement: Replacement) -> tuple[bool, str]:
        """Make the next step of a replacement; return whether it is finished, and the step."""
        await self.read_barrier()
        step = next_step(self.status().members, replacement)
        if step.change is None:
            return step.is_done, step.text
        try:
            await self.change_membership(step.change)
        except NotTakenError as error:
            return False, f"{step.text}: {explain_refusal(error.cause, replacement)}"
        return False, step.text


class _Retries:
    """Pauses between the tries of one request, until its time is up."""

    def __init__(self, host: RaftHost, timeout_seconds: float, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._deadline = asyncio.get_running_loop().time() + timeout_seconds
        self._pause = FIRST_PAUSE_SECONDS

    def remaining(self) -> float:
        """Return the seconds left."""
        return max(0.0, self._deadline - asyncio.get_running_loop().time())

    async def pause(self, error: Exception) -> None:
        """Wait for a new leader or a while; raise when the time is up."""
        if self.remaining() <= 0.0:
            text = str(error) or "no quorum answered in time"
            raise ControlUnavailableError(text) from error
        pause = min(self._pause * (0.5 + self._rng.random()), self.remaining())
        self._pause = min(2 * self._pause, LONGEST_PAUSE_SECONDS)
        await self._host.wait_for_role_change(pause)


def _role_of(member: Member) -> MemberRole:
    if member.role is GroupRole.VOTER:
        return MemberRole.VOTER
    return MemberRole.LEARNER if member.promote else MemberRole.STANDBY


def _ignore(_report: InForceReport | DirectoryReport | CrashNews) -> None:
    """Stand in until the distribution service is connected."""


def _ignore_quota(_link: PeerLink, _message: ForwardedQuota | QuotaReply) -> None:
    """Stand in until the quota service is connected."""
