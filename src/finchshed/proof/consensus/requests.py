"""Requests of clients that wait at a simulated node, and what they are answered."""

from typing import TypeAlias

import msgspec
import simpy

from finchshed.consensus.effects import (
    CommitOutcomeUnknown,
    Committed,
    Effect,
    ReadFailed,
    ReadReady,
    RefusalCause,
    RequestRefused,
)
from finchshed.proof.consensus.register import ChangeResult, Reading, Register
from finchshed.proof.consensus.scheduler import Scheduler


class NotTaken(msgspec.Struct, frozen=True):
    """The node did nothing; ``leader`` names another to ask, if known."""

    cause: RefusalCause
    leader: str = ""


class Undecided(msgspec.Struct, frozen=True):
    """Leadership ended before the outcome was known."""


Answer: TypeAlias = ChangeResult | Reading | NotTaken | Undecided | None


class WaitingRequests:
    """Requests by token. Those of an ended process are never answered."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._last_token = 0
        self._waiting: dict[int, simpy.Event] = {}

    def add(self) -> tuple[int, simpy.Event]:
        """Return a new token, and the event that will give its answer."""
        self._last_token += 1
        answer = self._scheduler.event()
        self._waiting[self._last_token] = answer
        return self._last_token, answer

    def forget(self) -> None:
        """Forget all requests."""
        self._waiting = {}

    def report(
        self, effect: Effect, register: Register, last: tuple[int, ChangeResult | None]
    ) -> None:
        """Answer the request that an effect is about, if any.

        Parameters
        ----------
        last
            Index and result of the change applied last.
        """
        match effect:
            case Committed():
                index, result = last
                self._answer(effect.token, result if index == effect.index else None)
            case ReadReady():
                self._answer(effect.token, register.read())
            case CommitOutcomeUnknown():
                self._answer(effect.token, Undecided())
            case RequestRefused():
                leader = effect.leader.name if effect.leader else ""
                self._answer(effect.token, NotTaken(effect.cause, leader))
            case ReadFailed():
                self._answer(effect.token, NotTaken(RefusalCause.NOT_READY))

    def _answer(self, token: int, answer: Answer) -> None:
        waiting = self._waiting.pop(token, None)
        if waiting is not None:
            waiting.succeed(answer)
