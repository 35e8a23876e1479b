"""Proposals from any control node: the leader is found, and asked again.

Counterpart of :mod:`finchshed.control.raft.group_log`. Commands name themselves, so sending one
again after a lost answer or a change of leader has no second effect.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from finchshed.control.state.commands import Command, CommandResult
from finchshed.emulator.control.log_host import LogHost, OnResult
from finchshed.emulator.daemons.process import Process

FIRST_PAUSE_SECONDS: Final = 0.02
"""First wait before a proposal is sent again, seconds; chosen, not measured."""
LONGEST_PAUSE_SECONDS: Final = 0.5
"""Longest wait before a proposal is sent again, seconds; chosen, not measured."""
FORWARD_SECONDS: Final = 1.5
"""A forwarded request unanswered for this long is sent again, perhaps to another leader."""


class SimulatedForwarding(Protocol):
    """Carries a command to the leader and its result back."""

    def forward(self, address: str, request: int, command: Command) -> None:
        """Send a command to the node at ``address``."""


@dataclass(slots=True, eq=False)
class _Proposal:
    command: Command
    deadline: float
    done: Callable[[CommandResult | None], None]
    pause: float = FIRST_PAUSE_SECONDS
    tries: int = 0
    ended: bool = False


class Proposals:
    """Proposals that came in at one control node, in one generation of it."""

    def __init__(
        self, process: Process, host: LogHost, forwarding: SimulatedForwarding, rng: random.Random
    ) -> None:
        self._process = process
        self._host = host
        self._forwarding = forwarding
        self._rng = rng
        self._last_request = 0
        self._forwarded: dict[int, OnResult] = {}

    def propose(self, command: Command, timeout: float, done: OnResult) -> None:
        """Commit ``command`` through the leader; ``done`` gets None if time ran out first."""
        proposal = _Proposal(command, self._process.now + timeout, done)
        self._process.call_later(timeout, self._expire, proposal)
        self._try(proposal)

    def read_barrier(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Call ``done`` once all that was committed before is applied here, or time ran out."""
        deadline = self._process.now + timeout

        def answered(confirmed: bool) -> None:
            if confirmed or self._process.now >= deadline:
                done(confirmed)
                return
            self._process.call_later(self._jittered(LONGEST_PAUSE_SECONDS), attempt)

        def attempt() -> None:
            self._host.read(answered)

        attempt()

    def take_reply(self, request: int, result: CommandResult | None) -> None:
        """Take the leader's answer to a forwarded command."""
        done = self._forwarded.pop(request, None)
        if done is not None:
            done(result)

    def _try(self, proposal: _Proposal) -> None:
        if proposal.ended:
            return
        proposal.tries += 1
        number = proposal.tries

        def answered(result: CommandResult | None) -> None:
            if proposal.ended or proposal.tries != number:
                return
            if result is None:
                self._pause(proposal)
                return
            proposal.ended = True
            proposal.done(result)

        if self._host.is_leader:
            self._host.propose(proposal.command, answered)
            return
        address = self._host.node.leader_address
        if not address:
            self._pause(proposal)
            return
        self._last_request += 1
        request = self._last_request
        self._forwarded[request] = answered
        self._forwarding.forward(address, request, proposal.command)
        self._process.call_later(FORWARD_SECONDS, self.take_reply, request, None)

    def _pause(self, proposal: _Proposal) -> None:
        pause = self._jittered(proposal.pause)
        proposal.pause = min(2 * proposal.pause, LONGEST_PAUSE_SECONDS)
        proposal.tries += 1
        self._process.call_later(pause, self._try, proposal)

    def _jittered(self, seconds: float) -> float:
        return seconds * (0.5 + self._rng.random())

    def _expire(self, proposal: _Proposal) -> None:
        if not proposal.ended:
            proposal.ended = True
            proposal.done(None)
