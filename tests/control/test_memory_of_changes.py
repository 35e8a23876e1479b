"""Guards against memory of a control process that grows with the size of what is sent to it."""

import asyncio
import random

import pytest

from finchshed.common.outcomes import Answered
from finchshed.configuration.changes import Accepted, Change
from finchshed.configuration.resources import HostRoute, Operator, Service
from finchshed.configuration.store import BOOTSTRAP_OPERATOR, ConfigurationStore
from finchshed.control.background import BackgroundTasks
from finchshed.control.daemons.ledger_room import LedgerRoom
from finchshed.control.daemons.ledger_service import LedgerService
from finchshed.control.memory import LEDGER_KEY_BYTES, ControlMemoryPlan
from finchshed.control.operators.revisions import RevisionFeed
from finchshed.distribution.committed_configuration import (
    MAX_CACHED_LINES,
    CommittedConfiguration,
)
from finchshed.distribution.messages import (
    Delta,
    LedgerBegin,
    LedgerComplete,
    LedgerCompleted,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerUnknown,
)
from finchshed.ledger.keys import new_key
from finchshed.ledger.ledger import answer_bytes
from tests.control.test_ledger_service import NOW, OneNodeLog

HISTORY_BYTES = 200_000
ROUTES = 200
MAX_KEYS = 30


def routes(revision: int) -> tuple[HostRoute, ...]:
    return tuple(
        HostRoute(
            name=f"a.example/{number}/",
            host="a.example",
            prefix=f"/{number}/",
            destinations=(),
            timeout_seconds=1 + revision / 100,
        )
        for number in range(ROUTES)
    )


class Feeding:
    """A store whose changes go to a feed."""

    def __init__(self) -> None:
        self.store = ConfigurationStore()
        self.feed = RevisionFeed(self.store, HISTORY_BYTES)
        self.store.apply(
            Change(
                "first",
                BOOTSTRAP_OPERATOR,
                0,
                (Operator(name="ana", token_sha256="a" * 64), Service(name="s")),
            )
        )

    def change(self, *puts: Service) -> None:
        revision = self.store.revision
        result = self.store.apply(Change(f"c{revision}", "ana", revision, puts))
        assert isinstance(result, Accepted)
        assert self.store.last_committed is not None
        self.feed.on_committed(self.store.last_committed)


async def next_of(watch: object) -> Delta:
    return await asyncio.wait_for(anext(watch), 1.0)  # type: ignore[call-overload,no-any-return]


def service(name: str, size: int = 10) -> Service:
    return Service(name=name, health_path="/" + "x" * size)


async def test_changes_kept_for_watches_are_bounded_in_bytes() -> None:
    feeding = Feeding()
    for number in range(50):
        feeding.change(service(f"s{number}", HISTORY_BYTES // 10))
    assert feeding.feed.encoded_bytes <= 1.2 * HISTORY_BYTES
    # A watch that is too far behind gets the whole configuration, and then each change.
    watch = feeding.feed.follow(2)
    whole = await next_of(watch)
    assert (whole.base, whole.revision, len(whole.puts)) == (0, 51, 52)
    feeding.change(service("next"))
    assert (await next_of(watch)).puts == (service("next"),)


async def test_a_watch_gets_each_kept_change_and_waits_for_the_next() -> None:
    feeding = Feeding()
    for number in range(3):
        feeding.change(service(f"s{number}"))
    watch = feeding.feed.follow(2)
    assert [(await next_of(watch)).revision for _ in range(2)] == [3, 4]
    waiting = asyncio.ensure_future(next_of(watch))
    await asyncio.sleep(0)
    feeding.change(service("later"))
    assert (await waiting).revision == 5


async def test_a_watch_of_an_empty_configuration_waits() -> None:
    store = ConfigurationStore()
    watch = RevisionFeed(store, HISTORY_BYTES).follow(0)
    assert (await next_of(watch)).puts == ()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(anext(watch), 0.05)


def test_lines_for_subscribers_that_are_behind_are_bounded_in_number() -> None:
    committed = CommittedConfiguration(512, 1 << 20)
    committed.apply(Delta(0, 1, puts=routes(1)))
    for revision in range(2, 40):
        committed.apply(Delta(revision - 1, revision, puts=(service(f"s{revision}"),)))
    lines = [committed.catch_up_line(base) for base in range(1, 39)]
    assert len(committed._catch_up) <= MAX_CACHED_LINES
    assert committed.catch_up_line(38) is lines[-1]


def test_subscribers_that_need_all_resources_share_a_line() -> None:
    committed = CommittedConfiguration(512, 1 << 20)
    for revision in range(1, 5):
        committed.apply(Delta(revision - 1, revision, puts=routes(revision)))
    assert committed.catch_up_line(0) is committed.catch_up_line(2)


async def test_the_ledger_is_bounded_by_the_memory_of_the_process() -> None:
    log = OneNodeLog()
    room = LedgerRoom(log.ledger, MAX_KEYS * LEDGER_KEY_BYTES)
    service = LedgerService(log, BackgroundTasks(lambda error: pytest.fail(str(error))), room)
    keys = [new_key(NOW, random.Random(number)) for number in range(40)]
    answers = [await service.answer(LedgerBegin(1, key, "a", "edge")) for key in keys]
    granted = [isinstance(answer, LedgerGranted) for answer in answers]
    assert granted.count(True) == MAX_KEYS
    assert isinstance(answers[-1], LedgerRefused)
    # What was granted before goes on, without its answer where there is no room.
    assert isinstance(await service.answer(LedgerBegin(2, keys[0], "a", "edge")), LedgerGranted)
    large = Answered(200, (), b"x" * 5_000)
    noted = await service.answer(LedgerComplete(3, keys[0], "a", large))
    assert isinstance(noted, LedgerNoted)
    resent = await service.answer(LedgerBegin(4, keys[0], "b", "edge"))
    assert isinstance(resent, LedgerUnknown)
    larger = LedgerRoom(log.ledger, 2 * MAX_KEYS * LEDGER_KEY_BYTES)
    service = LedgerService(log, BackgroundTasks(lambda error: pytest.fail(str(error))), larger)
    await service.answer(LedgerComplete(5, keys[1], "a", Answered(200, (), b"ok")))
    found = await service.answer(LedgerBegin(6, keys[1], "b", "edge"))
    assert isinstance(found, LedgerCompleted)


async def test_answers_leave_room_for_keys() -> None:
    # Guards against requests that are refused because answers of earlier ones fill the ledger.
    log = OneNodeLog()
    room = LedgerRoom(log.ledger, 2 * MAX_KEYS * LEDGER_KEY_BYTES)
    service = LedgerService(log, BackgroundTasks(lambda error: pytest.fail(str(error))), room)
    answer = Answered(200, (("server", "s"),), b"x" * 4 * LEDGER_KEY_BYTES)
    granted = 0
    for number in range(MAX_KEYS):
        key = new_key(NOW, random.Random(number))
        reply = await service.answer(LedgerBegin(1, key, "a", "edge"))
        granted += isinstance(reply, LedgerGranted)
        await service.answer(LedgerComplete(2, key, "a", answer))
    assert granted == MAX_KEYS
    assert log.ledger.total_answer_bytes >= answer_bytes(answer)


def test_every_part_of_the_memory_follows_from_that_of_the_process() -> None:
    # Above 512 MiB the log keeps no more, so that a start takes no longer.
    small, large = ControlMemoryPlan(200_000_000), ControlMemoryPlan(400_000_000)
    for name, size in vars(small).items():
        assert getattr(large, name) == pytest.approx(2 * size, abs=2), name
