"""Ledger distributed over shards, each a control group of separate processes."""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import cast

import pytest

from finchshed.common.outcomes import Answered
from finchshed.configuration.resources import Policy
from finchshed.distribution.messages import LedgerCompleted, LedgerGranted, LedgerUnknown
from finchshed.ledger.keys import new_key
from finchshed.rpc.generated import finchshed_pb2 as pb
from finchshed.runtime import clock
from tests.control.daemons import StubDaemon, running
from tests.control.group import BOOTSTRAP_TOKEN, Group

SECONDS = 30.0
KEYS = 60


@pytest.fixture
def groups(tmp_path: Path) -> Iterator[list[Group]]:
    """Return the control group and two shards."""
    made = []
    for name, voters in (("main", 3), ("shard-1", 1), ("shard-2", 1)):
        folder = tmp_path / name
        folder.mkdir()
        made.append(Group(folder, voters=voters))
    for group in made:
        group.start_all()
    yield made
    for group in made:
        group.close()


def keys_held(group: Group) -> int:
    client = group.client(token=BOOTSTRAP_TOKEN)
    status = cast(pb.StatusResponse, client.call("Status", pb.StatusRequest()))
    client.close()
    return int(status.ledger.begun + status.ledger.completed + status.ledger.free)


def answer_to(key: str) -> Answered:
    return Answered(200, (), f"answer to {key}".encode())


async def test_keys_are_granted_once_and_answered_whole_through_kills_of_all_three_groups(
    groups: list[Group],
) -> None:
    main, *shards = groups
    policy = Policy(ledger_shards=tuple((shard.nodes[0].distribution,) for shard in shards))
    await asyncio.to_thread(main.bootstrap, policy)
    leader = await asyncio.to_thread(main.leader)
    daemons = [StubDaemon(f"edge-{n}", [node]) for n, node in enumerate(main.nodes)]
    keys = [new_key(time.time(), random.Random(number)) for number in range(KEYS)]
    granted: dict[str, list[int]] = defaultdict(list)

    async def race(number: int, key: str) -> None:
        answer = await daemons[number].client.ledger.begin(key, str(number), SECONDS)
        if isinstance(answer, LedgerGranted):
            granted[key].append(number)

    async with running(*daemons):
        for daemon in daemons:
            await daemon.wait_for(1)
        races = [asyncio.create_task(race(number, key)) for key in keys for number in range(3)]
        main.kill(leader)
        shards[0].kill(shards[0].nodes[0])
        main.start(leader)
        shards[0].start(shards[0].nodes[0])
        await asyncio.gather(*races)
        assert granted
        assert all(len(attempts) == 1 for attempts in granted.values())
        for key, (number,) in granted.items():
            client = daemons[number].client
            assert await completed(client.ledger.complete, key, str(number))
        for shard in shards:
            shard.kill(shard.nodes[0])
            shard.start(shard.nodes[0])
        for key in granted:
            await expect_answer(daemons[0], key)
        for key in set(keys) - granted.keys():
            answer = await daemons[1].client.ledger.begin(key, "late", SECONDS)
            assert not isinstance(answer, LedgerCompleted)
    held = [await asyncio.to_thread(keys_held, group) for group in shards]
    assert all(count > 0 for count in held)
    assert sum(held) == KEYS


async def completed(complete, key: str, attempt: str) -> bool:  # type: ignore[no-untyped-def]
    for _ in range(10):
        if await complete(key, attempt, answer_to(key), SECONDS):
            return True
    return False


async def expect_answer(daemon: StubDaemon, key: str) -> None:
    deadline = clock.now() + SECONDS
    while True:
        answer = await daemon.client.ledger.begin(key, "again", SECONDS)
        assert not isinstance(answer, LedgerGranted | LedgerUnknown)
        if isinstance(answer, LedgerCompleted):
            assert answer.answer == answer_to(key)
            return
        assert clock.now() < deadline, answer
        await asyncio.sleep(0.1)
