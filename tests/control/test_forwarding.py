"""Forwarding of commands to the leader over links that may lose messages."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.configuration.changes import Accepted, Change
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.group_log import GroupLog
from finchshed.control.raft.host import RaftHost
from finchshed.control.raft.node_links import ControlNodeLinks, PeerLink
from finchshed.control.raft.node_messages import ForwardedCommand, ForwardOutcome, ForwardReply
from finchshed.control.state.commands import ApplyChange
from finchshed.control.state.machine import ControlStateMachine

TIMEOUT_SECONDS = 0.85
LEADER = "10.0.0.1:1"
COMMAND = ApplyChange(Change(change_id="a", operator="ana", expected_revision=0))


class FollowerHost:
    """Raft host stub with a fixed leader."""

    is_leader = False
    node = SimpleNamespace(leader_address=LEADER)

    def start(self, links: ControlNodeLinks) -> None:
        """Do nothing: there is no group."""

    async def wait_for_role_change(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


@dataclass
class LossyLinks:
    """Links to a leader that loses ``lost_count`` messages and replies after ``reply_delay`` s."""

    lost_count: int = 0
    reply_delay: float = 0.0
    sent: list[ForwardedCommand] = field(default_factory=list)
    log: GroupLog | None = None

    def send(self, address: str, message: ForwardedCommand) -> bool:
        assert address == LEADER
        self.sent.append(message)
        if len(self.sent) > self.lost_count:
            loop = asyncio.get_running_loop()
            loop.call_later(self.reply_delay, self._answer, message.request)
        return True

    def _answer(self, request: int) -> None:
        assert self.log is not None
        reply = ForwardReply(request, ForwardOutcome.DONE, Accepted(1))
        self.log.on_message(cast(PeerLink, None), reply)


def make_follower_log(links: LossyLinks) -> GroupLog:
    background = BackgroundTasks(on_invariant_error=lambda error: pytest.fail(str(error)))
    host = cast(Any, FollowerHost())
    log = GroupLog(cast(RaftHost, host), ControlStateMachine(), background, TIMEOUT_SECONDS)
    log.start(cast(ControlNodeLinks, links))
    links.log = log
    return log


async def test_lost_line_between_control_nodes_does_not_lose_the_answer() -> None:
    links = LossyLinks(lost_count=1)
    assert await make_follower_log(links).propose(COMMAND) == Accepted(1)
    assert len(links.sent) == 2


async def test_answer_to_any_resend_is_accepted_if_the_leader_is_slow() -> None:
    links = LossyLinks(reply_delay=0.7 * TIMEOUT_SECONDS)
    assert await make_follower_log(links).propose(COMMAND) == Accepted(1)


async def test_request_to_a_leader_that_never_answers_times_out() -> None:
    links = LossyLinks(lost_count=1000)
    began = asyncio.get_running_loop().time()
    with pytest.raises(ControlUnavailableError):
        await make_follower_log(links).propose(COMMAND)
    assert asyncio.get_running_loop().time() - began < 2 * TIMEOUT_SECONDS
    assert len(links.sent) < 10
