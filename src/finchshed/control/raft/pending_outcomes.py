"""Proposals, reads and changes of members that wait for their outcome.

Owns the futures of requests in progress at this node.
"""

import asyncio
from typing import TypeAlias

from finchshed.consensus.effects import RefusalCause
from finchshed.control.state.commands import CommandResult


class NotTakenError(Exception):
    """A proposal, read or change had no effect."""

    def __init__(self, cause: RefusalCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


class UndecidedError(Exception):
    """Leadership ended before it was known whether the proposal commits."""


Outcome: TypeAlias = asyncio.Future[CommandResult | None]


class PendingOutcomes:
    """What waits, by the token that the log names it with."""

    def __init__(self) -> None:
        self._waiting: dict[int, Outcome] = {}
        self._last_token = 0

    def add(self) -> tuple[int, Outcome]:
        """Return a new token and the outcome that will be set under it."""
        self._last_token += 1
        outcome: Outcome = asyncio.get_running_loop().create_future()
        self._waiting[self._last_token] = outcome
        return self._last_token, outcome

    def resolve(self, token: int, result: CommandResult | None) -> None:
        """Set an outcome; one that is waited for no more is dropped."""
        outcome = self._waiting.pop(token, None)
        if outcome is not None and not outcome.done():
            outcome.set_result(result)

    def fail(self, token: int, error: Exception) -> None:
        """Set an error; see :meth:`resolve`."""
        outcome = self._waiting.pop(token, None)
        if outcome is not None and not outcome.done():
            outcome.set_exception(error)
