"""Carries a daemon's ledger requests to the replicated log and the results back."""

import asyncio
from typing import TypeAlias

from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.control.background import Background
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.commands import (
    BeginRequest,
    CancelRequest,
    CommandResult,
    CompleteRequest,
)
from finchshed.distribution.messages import (
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    LedgerCompleted,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerUnknown,
)
from finchshed.ledger.ledger import DEFAULT_MAX_ANSWER_BYTES, answer_bytes
from finchshed.ledger.results import (
    Completed,
    Granted,
    LedgerRefusal,
    LedgerRefusalReason,
    NotHolder,
    OutcomeUnknown,
)
from finchshed.observability.instruments import Counter

LedgerRequest: TypeAlias = LedgerBegin | LedgerCancel | LedgerComplete
LedgerReply: TypeAlias = (
    LedgerGranted | LedgerCompleted | LedgerUnknown | LedgerRefused | LedgerNoted
)

CANCEL_TRIES = 60
CANCEL_PAUSE_SECONDS = 1.0
MAX_CANCELS = 10_000

NO_QUORUM = "no quorum answered in time"
NOT_HOLDER = "the attempt doesn't hold the key"

REQUESTS = Counter(
    "finchshed_ledger_requests", "Ledger requests of daemons by kind and result", ["kind", "result"]
)


class LedgerService:
    """Answers ledger requests of daemons.

    Parameters
    ----------
    log
        The replicated log.
    """

    def __init__(self, log: ReplicatedLog, background: Background) -> None:
        self._log = log
        self._background = background
        self._cancels = 0

    async def answer(self, request: LedgerRequest) -> LedgerReply:
        """Return the answer to ``request``; never raises for a missing quorum."""
        reply = await self._answer(request)
        kind = type(request).__name__.removeprefix("Ledger").lower()
        result = type(reply).__name__.removeprefix("Ledger").lower()
        REQUESTS.labels(kind, result).inc()
        return reply

    async def _answer(self, request: LedgerRequest) -> LedgerReply:
        try:
            result = await self._log.propose(_command_of(request))
        except ControlUnavailableError:
            if isinstance(request, LedgerBegin):
                self._background.spawn(self._cancel(request))
            return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)
        return _reply_of(request.request, result)

    async def _cancel(self, request: LedgerBegin) -> None:
        """Free the key of a begin that may yet be committed though its daemon was refused.

        Tried until there is a quorum again, since the key would else be held by nobody for its
        whole window. Past :data:`MAX_CANCELS` at a time, or :data:`CANCEL_TRIES` of one, it is
        given up: resends then get "outcome unknown".
        """
        if self._cancels >= MAX_CANCELS:
            return
        self._cancels += 1
        try:
            for _ in range(CANCEL_TRIES):
                if await self._cancel_once(request):
                    return
        finally:
            self._cancels -= 1
        logger.info("begin of attempt {} stays undecided: no quorum", request.attempt)

    async def _cancel_once(self, request: LedgerBegin) -> bool:
        try:
            await self._log.propose(CancelRequest(request.key, request.attempt))
        except ControlUnavailableError:
            await asyncio.sleep(CANCEL_PAUSE_SECONDS)
            return False
        return True


def _command_of(request: LedgerRequest) -> BeginRequest | CancelRequest | CompleteRequest:
    if isinstance(request, LedgerBegin):
        return BeginRequest(request.key, request.attempt)
    if isinstance(request, LedgerCancel):
        return CancelRequest(request.key, request.attempt)
    fits = answer_bytes(request.answer) <= DEFAULT_MAX_ANSWER_BYTES
    return CompleteRequest(request.key, request.attempt, request.answer if fits else None)


def _reply_of(request: int, result: CommandResult) -> LedgerReply:
    if isinstance(result, Granted):
        return LedgerGranted(request)
    if isinstance(result, Completed):
        return LedgerCompleted(request, result.answer)
    if isinstance(result, OutcomeUnknown):
        return LedgerUnknown(request)
    if isinstance(result, LedgerRefusal):
        expired = result.reason is LedgerRefusalReason.EXPIRED
        return LedgerRefused(request, expired=expired, detail=result.reason.value)
    if isinstance(result, NotHolder):
        return LedgerRefused(request, expired=False, detail=NOT_HOLDER)
    return LedgerNoted(request)
