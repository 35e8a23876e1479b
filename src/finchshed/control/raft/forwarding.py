"""Forwards commands and membership changes to the leader, and serves forwarded ones as leader.

Owns the requests that wait for the leader's reply. Messages between control nodes may be lost, so
requests are resent; commands are idempotent (each carries a change or attempt identifier).
"""

import asyncio
from typing import TypeAlias

from finchshed.consensus.effects import RefusalCause
from finchshed.consensus.membership import MembershipChange
from finchshed.control.raft.host import RaftHost
from finchshed.control.raft.node_links import ControlNodeLinks, PeerLink
from finchshed.control.raft.node_messages import (
    ForwardedChange,
    ForwardedCommand,
    ForwardOutcome,
    ForwardReply,
)
from finchshed.control.raft.pending_outcomes import OutcomeUnknownError, RequestRejectedError
from finchshed.control.state.commands import Command, CommandResult

RESEND_FRACTION = 0.375
"""Fraction of the request timeout after which an unanswered request is resent.

Leaves time for the reply to the second message.
"""

ForwardedRequest: TypeAlias = ForwardedCommand | ForwardedChange


class LeaderForwarding:
    """Sends requests to the leader and serves requests that other nodes forward to this one.

    Parameters
    ----------
    timeout_seconds
        Timeout of one request, including resends.
    """

    def __init__(self, host: RaftHost, timeout_seconds: float) -> None:
        self._host = host
        self._timeout_seconds = timeout_seconds
        self._links: ControlNodeLinks | None = None
        self._last_request_id = 0
        self._pending_replies: dict[int, asyncio.Future[ForwardReply]] = {}

    def start(self, links: ControlNodeLinks) -> None:
        """Use ``links`` to reach the leader."""
        self._links = links

    async def propose(self, command: Command) -> CommandResult:
        """Commit ``command`` through the leader, or directly if this node leads.

        Raises
        ------
        RequestRejectedError
            The command had no effect, or no leader is known.
        OutcomeUnknownError
            The command may still be committed.
        """
        if self._host.is_leader:
            return await self._host.propose(command)
        reply = await self._forward(ForwardedCommand(self._next_request_id(), command))
        if reply.result is None:
            raise OutcomeUnknownError("the leader answered without a result")
        return reply.result

    async def change_membership(self, change: MembershipChange) -> None:
        """Commit a membership change through the leader; raises the errors of :meth:`propose`."""
        if self._host.is_leader:
            await self._host.change_membership(change)
        else:
            await self._forward(ForwardedChange(self._next_request_id(), change))

    def on_reply(self, reply: ForwardReply) -> None:
        """Complete the request that ``reply`` answers; late replies are dropped."""
        future = self._pending_replies.get(reply.request)
        if future is not None and not future.done():
            future.set_result(reply)

    async def serve(self, link: PeerLink, message: ForwardedRequest) -> None:
        """Execute a forwarded request as the leader and reply on ``link``."""
        request = message.request
        try:
            result = None
            if isinstance(message, ForwardedCommand):
                result = await self._host.propose(message.command)
            else:
                await self._host.change_membership(message.change)
        except RequestRejectedError as error:
            link.send(ForwardReply(request, ForwardOutcome.NOT_TAKEN, detail=str(error)))
        except OutcomeUnknownError as error:
            link.send(ForwardReply(request, ForwardOutcome.UNKNOWN, detail=str(error)))
        else:
            link.send(ForwardReply(request, ForwardOutcome.DONE, result))

    def _next_request_id(self) -> int:
        self._last_request_id += 1
        return self._last_request_id

    async def _forward(self, message: ForwardedRequest) -> ForwardReply:
        """Send a request to the leader and return its reply.

        A resent request may reach the leader twice. This has no further effect, except that the
        audit entry of an operator's action may be recorded twice.
        """
        future: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self._pending_replies[message.request] = future
        try:
            reply = await self._send_until_answered(message, future)
        finally:
            del self._pending_replies[message.request]
        if reply.outcome is ForwardOutcome.NOT_TAKEN:
            raise RequestRejectedError(RefusalCause(reply.detail))
        if reply.outcome is ForwardOutcome.UNKNOWN:
            raise OutcomeUnknownError(reply.detail)
        return reply

    async def _send_until_answered(
        self, message: ForwardedRequest, reply_future: asyncio.Future[ForwardReply]
    ) -> ForwardReply:
        """Resend until any reply arrives; the caller sets the timeout."""
        while True:
            address = self._host.node.leader_address
            if self._host.is_leader or not address or self._links is None:
                raise RequestRejectedError(RefusalCause.NOT_LEADER)
            if not self._links.send(address, message):
                raise RequestRejectedError(RefusalCause.NOT_LEADER)
            done, _ = await asyncio.wait(
                (reply_future,), timeout=RESEND_FRACTION * self._timeout_seconds
            )
            if done:
                return reply_future.result()
