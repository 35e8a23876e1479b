import asyncio
import random
from typing import get_args

import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.common.outcomes import Answered
from finchshed.control.background import BackgroundTasks
from finchshed.control.daemons import ledger_service
from finchshed.control.daemons.ledger_room import LedgerRoom
from finchshed.control.daemons.ledger_service import LedgerService
from finchshed.control.raft.replicated_log import LogStatus
from finchshed.control.state.commands import (
    BeginRequest,
    CancelRequest,
    Command,
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
from finchshed.distribution.status import InForceReport
from finchshed.ledger.keys import new_key
from finchshed.ledger.ledger import DEFAULT_MAX_ANSWER_BYTES, Ledger
from finchshed.ledger.results import LedgerRefusalReason

NOW = 1_800_000_000.0
ANSWER = Answered(200, (), b"whole")
KEY = new_key(NOW, random.Random(1))


class OneNodeLog:
    """Log of a one-node group; the first ``undecided`` commands commit but raise an error.

    The first ``refused`` cancels raise an error without effect.
    """

    def __init__(self, undecided: int = 0, refused: int = 0) -> None:
        self.ledger = Ledger()
        self.ledger.advance(NOW, 600.0)
        self.proposed: list[Command] = []
        self.undecided = undecided
        self.refused = refused

    async def propose(self, command: Command) -> CommandResult:
        self.proposed.append(command)
        if isinstance(command, CancelRequest) and self.refused:
            self.refused -= 1
            raise ControlUnavailableError("no quorum")
        result: CommandResult
        if isinstance(command, BeginRequest):
            result = self.ledger.begin(command.key, command.attempt)
        elif isinstance(command, CancelRequest):
            result = self.ledger.cancel(command.key, command.attempt)
        else:
            result = self.ledger.complete(command.key, command.attempt, command.answer)
        if self.undecided:
            self.undecided -= 1
            raise ControlUnavailableError("no quorum")
        return result

    async def read_barrier(self) -> None:
        """Do nothing: all entries are applied."""

    def status(self) -> LogStatus:
        return LogStatus("c1", "c1", 1, 0, 0, ())

    def in_contact(self) -> bool:
        return True

    def send_report(self, report: InForceReport) -> None:
        """Do nothing: there are no other members."""


@pytest.fixture
def background() -> BackgroundTasks:
    return BackgroundTasks(on_invariant_error=lambda error: pytest.fail(str(error)))


async def test_begin_committed_after_its_refusal_is_cancelled(
    background: BackgroundTasks,
) -> None:
    log = OneNodeLog(undecided=1)
    service = LedgerService(log, background, LedgerRoom(Ledger(), 1 << 30))
    refused = await service.answer(LedgerBegin(1, KEY, "a", "edge"))
    assert isinstance(refused, LedgerRefused)
    await asyncio.sleep(0)
    assert log.proposed[-1] == CancelRequest(KEY, "a")
    assert isinstance(await service.answer(LedgerBegin(2, KEY, "b", "edge")), LedgerGranted)


async def test_complete_that_may_have_committed_is_not_cancelled(
    background: BackgroundTasks,
) -> None:
    log = OneNodeLog()
    service = LedgerService(log, background, LedgerRoom(Ledger(), 1 << 30))
    await service.answer(LedgerBegin(1, KEY, "a", "edge"))
    log.undecided = 1
    refused = await service.answer(LedgerComplete(2, KEY, "a", ANSWER))
    assert isinstance(refused, LedgerRefused)
    await asyncio.sleep(0)
    again = await service.answer(LedgerBegin(3, KEY, "b", "edge"))
    assert again == LedgerCompleted(3, ANSWER)


async def test_each_result_has_its_own_message(
    background: BackgroundTasks,
) -> None:
    service = LedgerService(OneNodeLog(), background, LedgerRoom(Ledger(), 1 << 30))
    old = new_key(NOW - 601.0, random.Random(2))
    timeless = "6ba7b810-9dad-41d1-80b4-00c04fd430c8"
    asked = [
        (LedgerBegin(1, KEY, "a", "edge"), LedgerGranted(1)),
        (LedgerBegin(2, KEY, "b", "edge"), LedgerUnknown(2)),
        (LedgerCancel(3, KEY, "a"), LedgerNoted(3)),
        (LedgerBegin(4, KEY, "a", "edge"), LedgerRefused(4, False, "attempt_cancelled")),
        (
            LedgerComplete(5, KEY, "a", ANSWER),
            LedgerRefused(5, False, "the attempt doesn't hold the key"),
        ),
        (LedgerBegin(6, old, "a", "edge"), LedgerRefused(6, True, LedgerRefusalReason.EXPIRED)),
        (LedgerBegin(7, timeless, "a", "edge"), LedgerRefused(7, False, "no_time_in_key")),
    ]
    for request, answer in asked:
        assert await service.answer(request) == answer


async def test_answer_that_the_ledger_would_not_store_is_not_replicated(
    background: BackgroundTasks,
) -> None:
    log = OneNodeLog()
    service = LedgerService(log, background, LedgerRoom(Ledger(), 1 << 30))
    await service.answer(LedgerBegin(1, KEY, "a", "edge"))
    large = Answered(200, (), bytes(DEFAULT_MAX_ANSWER_BYTES + 1))
    assert await service.answer(LedgerComplete(2, KEY, "a", large)) == LedgerNoted(2)
    assert log.proposed[-1] == CompleteRequest(KEY, "a", None)
    assert await service.answer(LedgerBegin(3, KEY, "b", "edge")) == LedgerUnknown(3)


async def test_cancel_is_retried_until_a_quorum_returns(
    background: BackgroundTasks, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ledger_service, "CANCEL_PAUSE_SECONDS", 0.0)
    log = OneNodeLog(undecided=1, refused=20)
    service = LedgerService(log, background, LedgerRoom(Ledger(), 1 << 30))
    refused = await service.answer(LedgerBegin(1, KEY, "a", "edge"))
    assert isinstance(refused, LedgerRefused)
    async with asyncio.timeout(30.0):
        while log.refused:  # noqa: ASYNC110 - the cancel runs in the background
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
    assert isinstance(await service.answer(LedgerBegin(2, KEY, "b", "edge")), LedgerGranted)


def test_each_request_and_answer_is_labelled_by_its_tag() -> None:
    for labels, messages in (
        (ledger_service.REQUEST_LABELS, LedgerRequest),
        (ledger_service.ANSWER_LABELS, LedgerAnswer),
    ):
        tags = {kind: kind.__struct_config__.tag for kind in get_args(messages)}
        assert {kind: f"ledger_{label}" for kind, label in labels.items()} == tags
