"""Proposals from any control node, forwarded to the leader and retried.

Counterpart of :mod:`finchshed.control.raft.group_log`. Commands are idempotent, so one may be sent
again after a lost answer or a change of leader.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from finchshed.control.state.commands import Command, CommandResult
from finchshed.emulator.control.log_host import LogHost, OnResult
from finchshed.emulator.daemons.process import Process

INITIAL_BACKOFF_SECONDS: Final = 0.02
"""Initial delay before a proposal is retried."""
MAX_BACKOFF_SECONDS: Final = 0.5
"""Upper bound of the delay before a retry."""
FORWARD_TIMEOUT_SECONDS: Final = 1.5
"""Timeout of a forwarded request, after which it is retried with the current leader."""


class SimulatedForwarding(Protocol):
    """Transport of commands to the leader."""

    def forward(self, address: str, request: int, command: Command) -> None:
        """Send a command to the node at ``address``."""


@dataclass(slots=True, eq=False)
class _Proposal:
    command: Command
    deadline: float
    done: Callable[[CommandResult | None], None]
    backoff: float = INITIAL_BACKOFF_SECONDS
    attempts: int = 0
    ended: bool = False


class Proposals:
    """Proposals submitted to one control node, for one generation of the node."""

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
        """Commit ``command`` through the leader; ``done`` receives None on timeout."""
        proposal = _Proposal(command, self._process.now + timeout, done)
        self._process.call_later(timeout, self._expire, proposal)
        self._attempt(proposal)

    def read_barrier(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Call ``done`` once all earlier commits are applied here, or with False on timeout."""
        deadline = self._process.now + timeout

        def answered(confirmed: bool) -> None:
            if confirmed or self._process.now >= deadline:
                done(confirmed)
                return
            self._process.call_later(self._jittered(MAX_BACKOFF_SECONDS), attempt)

        def attempt() -> None:
            self._host.read(answered)

        attempt()

    def on_reply(self, request: int, result: CommandResult | None) -> None:
        """Handle the leader's reply to a forwarded command."""
        done = self._forwarded.pop(request, None)
        if done is not None:
            done(result)

    def _attempt(self, proposal: _Proposal) -> None:
        if proposal.ended:
            return
        proposal.attempts += 1
        attempt_number = proposal.attempts

        def answered(result: CommandResult | None) -> None:
            if proposal.ended or proposal.attempts != attempt_number:
                return
            if result is None:
                self._retry_later(proposal)
                return
            proposal.ended = True
            proposal.done(result)

        if self._host.is_leader:
            self._host.propose(proposal.command, answered)
            return
        address = self._host.node.leader_address
        if not address:
            self._retry_later(proposal)
            return
        self._last_request += 1
        request = self._last_request
        self._forwarded[request] = answered
        self._forwarding.forward(address, request, proposal.command)
        self._process.call_later(FORWARD_TIMEOUT_SECONDS, self.on_reply, request, None)

    def _retry_later(self, proposal: _Proposal) -> None:
        backoff = self._jittered(proposal.backoff)
        proposal.backoff = min(2 * proposal.backoff, MAX_BACKOFF_SECONDS)
        proposal.attempts += 1
        self._process.call_later(backoff, self._attempt, proposal)

    def _jittered(self, seconds: float) -> float:
        return seconds * (0.5 + self._rng.random())

    def _expire(self, proposal: _Proposal) -> None:
        if not proposal.ended:
            proposal.ended = True
            proposal.done(None)
