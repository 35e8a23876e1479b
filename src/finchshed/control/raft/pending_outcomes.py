"""Proposals, reads and membership changes that wait for their outcome.

Owns the futures of the requests in progress at this node.
"""

import asyncio
from typing import TypeAlias

from finchshed.consensus.effects import RefusalCause
from finchshed.control.state.commands import CommandResult


class RequestRejectedError(Exception):
    """A proposal, read or membership change was rejected and had no effect."""

    def __init__(self, cause: RefusalCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class OutcomeUnknownError(Exception):
    """Leadership was lost before the proposal committed; it may still commit."""


Outcome: TypeAlias = asyncio.Future[CommandResult | None]


class PendingOutcomes:
    """Futures of pending requests, by the token passed to the Raft node."""

    def __init__(self) -> None:
        self._pending: dict[int, Outcome] = {}
        self._last_token = 0

    def add(self) -> tuple[int, Outcome]:
        """Return a new token and the future that it resolves."""
        self._last_token += 1
        outcome: Outcome = asyncio.get_running_loop().create_future()
        self._pending[self._last_token] = outcome
        return self._last_token, outcome

    def resolve(self, token: int, result: CommandResult | None) -> None:
        """Resolve the request of ``token``; ignored if it is no longer pending."""
        outcome = self._pending.pop(token, None)
        if outcome is not None and not outcome.done():
            outcome.set_result(result)

    def fail(self, token: int, error: Exception) -> None:
        """Fail the request of ``token``; ignored if it is no longer pending."""
        outcome = self._pending.pop(token, None)
        if outcome is not None and not outcome.done():
            outcome.set_exception(error)
