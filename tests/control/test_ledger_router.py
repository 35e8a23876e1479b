import asyncio
import random

import pytest

from finchshed.common.errors import ControlUnavailableError
from finchshed.common.outcomes import Answered
from finchshed.configuration.changes import Change
from finchshed.configuration.resources import Operator, Policy
from finchshed.control.background import BackgroundTasks
from finchshed.control.daemons.ledger_room import LedgerRoom
from finchshed.control.daemons.ledger_router import LedgerRouter
from finchshed.control.daemons.ledger_service import LedgerService
from finchshed.control.raft.replicated_log import LogStatus
from finchshed.control.state.commands import (
    ApplyChange,
    Command,
    CommandResult,
    LogEntry,
    encode_entry,
)
from finchshed.control.state.machine import ControlStateMachine
from finchshed.distribution.ledger_requests import LedgerAnswer
from finchshed.distribution.messages import (
    LedgerBegin,
    LedgerCancel,
    LedgerComplete,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerRequest,
    LedgerUnknown,
)
from finchshed.distribution.status import InForceReport
from finchshed.ledger.epochs import (
    CLOCK_LEAD_SECONDS,
    CONFIRMATION_VALIDITY_SECONDS,
    ShardAddresses,
)
from finchshed.ledger.keys import new_key
from finchshed.ledger.ledger import Ledger

NOW = 1_800_000_000.0
SHARDS = (("10.0.0.1:1",), ("10.0.0.2:1",))
ANSWER = Answered(200, (), b"whole")
ANA = Operator("ana", "a" * 64)


class FakeLog:
    """Leader's state machine and a local copy that catches up at each read barrier."""

    def __init__(self) -> None:
        self.leader = ControlStateMachine()
        self.local = ControlStateMachine()
        self._entries: list[bytes] = []
        self.barriers = 0
        self.has_quorum = True

    async def propose(self, command: Command) -> CommandResult:
        data = encode_entry(LogEntry(NOW, command))
        self._entries.append(data)
        return self.leader.apply(len(self._entries), data)

    async def read_barrier(self) -> None:
        if not self.has_quorum:
            raise ControlUnavailableError("no quorum")
        self.barriers += 1
        for index in range(self.local.applied_index + 1, len(self._entries) + 1):
            self.local.apply(index, self._entries[index - 1])

    def status(self) -> LogStatus:
        return LogStatus("c1", "c1", 1, 0, 0, ())

    def in_contact(self) -> bool:
        return self.has_quorum

    def send_report(self, report: InForceReport) -> None:
        """Do nothing: there are no other members."""


class FakeShard:
    """Shard that grants every begin and records its keys."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.is_closed = False

    async def begin(self, key: str, attempt: str, timeout_seconds: float) -> LedgerAnswer:
        self.begun.append(key)
        return LedgerGranted(999)

    async def cancel(self, key: str, attempt: str, timeout_seconds: float) -> bool:
        return True

    async def complete(self, request: LedgerRequest, timeout_seconds: float) -> bool:
        return False

    def close(self) -> None:
        self.is_closed = True


class RouterHarness:
    """Ledger router with a fake log, fake shards and a clock set by the test."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.shards: dict[ShardAddresses, FakeShard] = {}
        self.now = 0.0
        own = LedgerService(
            self.log,
            BackgroundTasks(lambda error: pytest.fail(str(error))),
            LedgerRoom(Ledger(), 1 << 30),
        )
        self.router = LedgerRouter(
            self.log.local,
            self.log,
            own,
            connect_shard=self._connect_shard,
            now=lambda: self.now,
            unix_now=lambda: NOW + self.now,
        )

    def _connect_shard(self, group: ShardAddresses) -> FakeShard:
        return self.shards.setdefault(group, FakeShard())

    async def apply(self, identity: str, revision: int, shards: tuple[ShardAddresses, ...]) -> None:
        operator = "ana" if revision else "bootstrap"
        puts = (ANA, Policy(ledger_shards=shards))
        await self.log.propose(ApplyChange(Change(identity, operator, revision, puts)))

    async def begin(self, key: str) -> object:
        return await self.router.answer(LedgerBegin(7, key, "a", "edge"))


def key_issued_at(time: float, seed: int = 1) -> str:
    return new_key(time, random.Random(seed))


async def test_requests_go_to_the_shard_of_their_key_with_their_number() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    await harness.log.read_barrier()
    keys = [key_issued_at(NOW, seed) for seed in range(20)]
    for key in keys:
        assert await harness.begin(key) == LedgerGranted(7)
    assert sorted(key for shard in harness.shards.values() for key in shard.begun) == sorted(keys)
    assert len(harness.shards) == 2
    assert await harness.router.answer(LedgerCancel(8, keys[0], "a")) == LedgerNoted(8)
    complete = await harness.router.answer(LedgerComplete(9, keys[0], "a", ANSWER))
    assert isinstance(complete, LedgerRefused)


async def test_lagging_node_learns_of_shards_from_its_log() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    assert await harness.begin(key_issued_at(NOW)) == LedgerGranted(7)
    assert sum(len(shard.begun) for shard in harness.shards.values()) == 1


async def test_no_key_reaches_a_shard_without_a_recent_confirmation() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    await harness.begin(key_issued_at(NOW, 1))
    barriers = harness.log.barriers
    harness.now = CONFIRMATION_VALIDITY_SECONDS / 2 - 1.0
    await harness.begin(key_issued_at(NOW, 2))
    assert harness.log.barriers == barriers
    harness.log.has_quorum = False
    harness.now = CONFIRMATION_VALIDITY_SECONDS - 1.0
    assert await harness.begin(key_issued_at(NOW, 3)) == LedgerGranted(7)
    harness.now = CONFIRMATION_VALIDITY_SECONDS
    refused = await harness.begin(key_issued_at(NOW, 4))
    assert isinstance(refused, LedgerRefused)
    assert sum(len(shard.begun) for shard in harness.shards.values()) == 3
    harness.log.has_quorum = True
    assert await harness.begin(key_issued_at(NOW, 4)) == LedgerGranted(7)


async def test_confirmation_is_renewed_before_it_expires() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    await harness.begin(key_issued_at(NOW, 1))
    barriers = harness.log.barriers
    harness.now = CONFIRMATION_VALIDITY_SECONDS / 2
    await harness.begin(key_issued_at(NOW, 2))
    await asyncio.sleep(0)
    assert harness.log.barriers == barriers + 1
    harness.now = CONFIRMATION_VALIDITY_SECONDS + 1.0
    harness.log.has_quorum = False
    assert await harness.begin(key_issued_at(NOW, 3)) == LedgerGranted(7)


async def test_future_expired_and_pre_recovery_keys_reach_no_shard() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    await harness.log.read_barrier()
    ahead = await harness.begin(key_issued_at(NOW + CLOCK_LEAD_SECONDS + 1.0))
    assert ahead == LedgerRefused(7, False, "made_in_the_future")
    old = await harness.begin(key_issued_at(NOW - 601.0))
    assert old == LedgerRefused(7, True, "expired")
    harness.log.local.ledger.unknown_before = NOW + 1.0
    assert await harness.begin(key_issued_at(NOW)) == LedgerUnknown(7)
    assert not any(shard.begun for shard in harness.shards.values())


async def test_key_begun_in_the_local_log_is_answered_there_after_the_move() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, ())
    key = key_issued_at(NOW)
    assert await harness.begin(key) == LedgerGranted(7)
    await harness.apply("second", 1, SHARDS)
    await harness.log.read_barrier()
    other = await harness.router.answer(LedgerBegin(8, key, "b", "edge"))
    assert other == LedgerUnknown(8)
    assert not harness.shards


async def test_connections_to_unused_groups_are_closed() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    for seed in range(10):
        await harness.begin(key_issued_at(NOW, seed))
    first = set(harness.shards.values())
    harness.log.local.epochs = type(harness.log.local.epochs)()
    harness.log.local.epochs.declare((("10.0.0.3:1",),), NOW)
    harness.now = 2 * CONFIRMATION_VALIDITY_SECONDS
    assert await harness.begin(key_issued_at(NOW, 99)) == LedgerGranted(7)
    assert all(shard.is_closed for shard in first)
    harness.router.close()
    assert all(shard.is_closed for shard in harness.shards.values())


async def test_one_confirmation_serves_all_waiting_requests() -> None:
    harness = RouterHarness()
    await harness.apply("first", 0, SHARDS)
    await harness.log.read_barrier()
    before = harness.log.barriers
    await asyncio.gather(*(harness.begin(key_issued_at(NOW, seed)) for seed in range(50)))
    assert harness.log.barriers == before + 1
