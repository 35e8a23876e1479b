"""Carries a daemon's ledger requests to the replicated log and the results back.

Owns the keys that are being freed after an undecided begin. Relies on the replicated log.
"""

import asyncio
from collections.abc import Mapping

from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.replicated_log import ReplicatedLog
from finchshed.control.state.commands import (
    BeginRequest,
    CancelRequest,
    CommandResult,
    CompleteRequest,
)
from finchshed.distribution.messages import (
    LedgerAnswer,
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    LedgerCompleted,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerRequest,
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

CANCEL_TRIES = 60
"""Tries to free a key whose begin is undecided, each of them bounded by the log's own time. Chosen,
not measured."""

CANCEL_PAUSE_SECONDS = 1.0
"""Pause between those tries. Chosen, not measured."""

MAX_CANCELS = 10_000
"""Keys that are being freed at a time: bounds the memory. Chosen, not measured."""

NO_QUORUM = "no quorum answered in time"
NOT_HOLDER = "the attempt doesn't hold the key"

REQUESTS = Counter(
    "finchshed_ledger_requests", "Ledger requests of daemons by kind and result", ["kind", "result"]
)


REQUEST_LABELS: Mapping[type[LedgerRequest], str] = {
    LedgerBegin: "begin",
    LedgerCancel: "cancel",
    LedgerComplete: "complete",
}
ANSWER_LABELS: Mapping[type[LedgerAnswer], str] = {
    LedgerGranted: "granted",
    LedgerCompleted: "completed",
    LedgerUnknown: "unknown",
    LedgerRefused: "refused",
    LedgerNoted: "noted",
}
"""Labels of :data:`REQUESTS`: requests and answers."""


class LedgerService:
    """Answers ledger requests of daemons.

    Parameters
    ----------
    log
        The replicated log.
    """

    def __init__(self, log: ReplicatedLog, background: BackgroundTasks) -> None:
        self._log = log
        self._background = background
        self._cancels = 0

    async def answer(self, request: LedgerRequest) -> LedgerAnswer:
        """Return the answer to ``request``; never raises for a missing quorum."""
        answer = await self._answer(request)
        REQUESTS.labels(REQUEST_LABELS[type(request)], ANSWER_LABELS[type(answer)]).inc()
        return answer

    async def _answer(self, request: LedgerRequest) -> LedgerAnswer:
        try:
            result = await self._log.propose(_command_of(request))
        except ControlUnavailableError:
            if isinstance(request, LedgerBegin):
                self._background.spawn(self._cancel(request))
            return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)
        return _answer_of(request.request, result)

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


def _answer_of(request: int, result: CommandResult) -> LedgerAnswer:
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
