"""Passes commands and changes of members to the leader, and answers those that come to it.

Owns the requests that wait for the leader's answer. Commands name themselves (a change its
identity, a ledger request its attempt), so one that is sent again has no second effect. Relies on
the links between control nodes, which may lose a line.
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
from finchshed.control.raft.pending_outcomes import NotTakenError, UndecidedError
from finchshed.control.state.commands import Command, CommandResult

FORWARD_FRACTION = 0.375
"""A forwarded request unanswered for this part of its time is sent again.

The line may be lost, and there must be time left for the answer to the second one. Chosen, not
measured.
"""

ForwardedRequest: TypeAlias = ForwardedCommand | ForwardedChange


class Forwarding:
    """Requests of one control node to the leader, and of others to this one.

    Parameters
    ----------
    timeout_seconds
        Longest time for one request over all of its tries.
    """

    def __init__(self, host: RaftHost, timeout_seconds: float) -> None:
        self._host = host
        self._timeout = timeout_seconds
        self._links: ControlNodeLinks | None = None
        self._last_request = 0
        self._waiting: dict[int, asyncio.Future[ForwardReply]] = {}

    def start(self, links: ControlNodeLinks) -> None:
        """Send over ``links`` from now on."""
        self._links = links

    async def propose(self, command: Command) -> CommandResult:
        """Have the leader commit ``command``, which this node may be itself.

        Raises
        ------
        NotTakenError
            It had no effect, or no leader is known.
        UndecidedError
            It may yet be committed.
        """
        if self._host.is_leader:
            return await self._host.propose(command)
        reply = await self._forward(ForwardedCommand(self._new_request(), command))
        if reply.result is None:
            raise UndecidedError("the leader answered without a result")
        return reply.result

    async def change_membership(self, change: MembershipChange) -> None:
        """Have the leader commit a change of the members; raises as :meth:`propose`."""
        if self._host.is_leader:
            await self._host.change_membership(change)
        else:
            await self._forward(ForwardedChange(self._new_request(), change))

    def on_reply(self, reply: ForwardReply) -> None:
        """Hand an answer of the leader to what waits for it; a late one is dropped."""
        future = self._waiting.get(reply.request)
        if future is not None and not future.done():
            future.set_result(reply)

    async def answer(self, link: PeerLink, message: ForwardedRequest) -> None:
        """Do what another node asked for as the leader, and answer it on ``link``."""
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

    def _new_request(self) -> int:
        self._last_request += 1
        return self._last_request

    async def _forward(self, message: ForwardedRequest) -> ForwardReply:
        """Have the leader answer.

        What comes to it twice changes nothing more than what comes once, but that the note of an
        operator's action may then stand twice.
        """
        future: asyncio.Future[ForwardReply] = asyncio.get_running_loop().create_future()
        self._waiting[message.request] = future
        try:
            reply = await self._send_until_answered(message, future)
        finally:
            del self._waiting[message.request]
        if reply.outcome is ForwardOutcome.NOT_TAKEN:
            raise NotTakenError(RefusalCause(reply.detail))
        if reply.outcome is ForwardOutcome.UNKNOWN:
            raise UndecidedError(reply.detail)
        return reply

    async def _send_until_answered(
        self, message: ForwardedRequest, answer: asyncio.Future[ForwardReply]
    ) -> ForwardReply:
        """Send until an answer to any of the sendings came; the caller bounds the time."""
        while True:
            address = self._host.node.leader_address
            if self._host.is_leader or not address or self._links is None:
                raise NotTakenError(RefusalCause.NOT_LEADER)
            if not self._links.send(address, message):
                raise NotTakenError(RefusalCause.NOT_LEADER)
            done, _ = await asyncio.wait((answer,), timeout=FORWARD_FRACTION * self._timeout)
            if done:
                return answer.result()
