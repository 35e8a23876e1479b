"""Executes daemons' ledger requests through the replicated log.

Owns the background cancels of begin requests with an unknown outcome. Relies on the replicated log.
"""

import asyncio
from collections.abc import Mapping

from loguru import logger

from finchshed.common.errors import ControlUnavailableError
from finchshed.control.background import BackgroundTasks
from finchshed.control.daemons.ledger_room import LedgerRoom
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
from finchshed.ledger.results import (
    Completed,
    Granted,
    LedgerRefusal,
    LedgerRefusalReason,
    NotHolder,
    OutcomeUnknown,
)
from finchshed.observability.instruments import Counter

MAX_CANCEL_ATTEMPTS = 60
"""Attempts to cancel a begin request with an unknown outcome."""

CANCEL_PAUSE_SECONDS = 1.0
"""Delay between these attempts."""

MAX_CONCURRENT_CANCELS = 10_000
"""Maximum number of concurrent background cancels, to bound memory."""

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
"""Values of the label ``kind`` of :data:`REQUESTS`."""

ANSWER_LABELS: Mapping[type[LedgerAnswer], str] = {
    LedgerGranted: "granted",
    LedgerCompleted: "completed",
    LedgerUnknown: "unknown",
    LedgerRefused: "refused",
    LedgerNoted: "noted",
}
"""Values of the label ``result`` of :data:`REQUESTS`."""


class LedgerService:
    """Answers daemons' ledger requests.

    Parameters
    ----------
    log
        The replicated log.
    room
        Memory of this process for the ledger.
    """

    def __init__(self, log: ReplicatedLog, background: BackgroundTasks, room: LedgerRoom) -> None:
        self._log = log
        self._background = background
        self._room = room
        self._running_cancels = 0

    async def answer(self, request: LedgerRequest) -> LedgerAnswer:
        """Return the answer to ``request``; a missing quorum is answered with a refusal."""
        answer = await self._answer(request)
        REQUESTS.labels(REQUEST_LABELS[type(request)], ANSWER_LABELS[type(answer)]).inc()
        return answer

    async def _answer(self, request: LedgerRequest) -> LedgerAnswer:
        if isinstance(request, LedgerBegin) and not self._room.accepts_key(request.key):
            return LedgerRefused(
                request.request, expired=False, detail=LedgerRefusalReason.FULL.value
            )
        try:
            result = await self._log.propose(self._command_of(request))
        except ControlUnavailableError:
            if isinstance(request, LedgerBegin):
                self._background.spawn(self._cancel(request))
            return LedgerRefused(request.request, expired=False, detail=NO_QUORUM)
        return _answer_of(request.request, result)

    async def _cancel(self, request: LedgerBegin) -> None:
        """Cancel a begin request that may still commit although its daemon was refused.

        Retried until there is a quorum, because the key would otherwise stay begun for its whole
        window by an attempt that never runs. If :data:`MAX_CONCURRENT_CANCELS` are running
        already, or after :data:`MAX_CANCEL_ATTEMPTS`, the cancel is abandoned: resends then get
        "outcome unknown".
        """
        if self._running_cancels >= MAX_CONCURRENT_CANCELS:
            return
        self._running_cancels += 1
        try:
            for _ in range(MAX_CANCEL_ATTEMPTS):
                if await self._cancel_once(request):
                    return
        finally:
            self._running_cancels -= 1
        logger.info("giving up cancelling attempt {}: no quorum", request.attempt)

    async def _cancel_once(self, request: LedgerBegin) -> bool:
        try:
            await self._log.propose(CancelRequest(request.key, request.attempt))
        except ControlUnavailableError:
            await asyncio.sleep(CANCEL_PAUSE_SECONDS)
            return False
        return True

    def _command_of(self, request: LedgerRequest) -> BeginRequest | CancelRequest | CompleteRequest:
        if isinstance(request, LedgerBegin):
            return BeginRequest(request.key, request.attempt)
        if isinstance(request, LedgerCancel):
            return CancelRequest(request.key, request.attempt)
        is_stored = self._room.accepts_answer(request.answer)
        return CompleteRequest(request.key, request.attempt, request.answer if is_stored else None)


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
