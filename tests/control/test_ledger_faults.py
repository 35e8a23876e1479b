"""Ledger on control node processes under faults: at most one attempt of a key is granted."""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest

from finchshed.common.outcomes import Answered
from finchshed.distribution.messages import (
    LedgerCompleted,
    LedgerGranted,
    LedgerRefused,
    LedgerUnknown,
)
from finchshed.ledger.keys import new_key
from finchshed.runtime import clock
from tests.control.daemons import StubDaemon, running
from tests.control.group import Group

ANSWER = Answered(201, (("content-type", "text/plain"),), b"licence 7\x00\xff whole")
SECONDS = 30.0
KEYS = 150


@pytest.fixture
def group(tmp_path: Path) -> Iterator[Group]:
    made = Group(tmp_path)
    made.start_all()
    yield made
    made.close()


def fresh_key(seed: int) -> str:
    return new_key(time.time(), random.Random(seed))


async def test_a_grant_and_its_answer_outlive_the_leader_and_a_restart_of_all(
    group: Group,
) -> None:
    await asyncio.to_thread(group.bootstrap)
    daemon = StubDaemon("edge-1", group.nodes)
    key = fresh_key(1)
    async with running(daemon):
        await daemon.wait_for(1)
        assert isinstance(await daemon.client.ledger.begin(key, "a", SECONDS), LedgerGranted)
        leader = await asyncio.to_thread(group.leader)
        group.kill(leader)
        assert isinstance(await daemon.client.ledger.begin(key, "b", SECONDS), LedgerUnknown)
        assert isinstance(await daemon.client.ledger.begin(key, "a", SECONDS), LedgerGranted)
        assert await daemon.client.ledger.complete(key, "a", ANSWER, SECONDS)
        for node in group.nodes:
            if node.process is not None:
                group.kill(node)
        group.start_all()
        again = await daemon.client.ledger.begin(key, "c", SECONDS)
        assert isinstance(again, LedgerCompleted)
        assert again.answer == ANSWER


async def test_a_key_refused_for_want_of_a_quorum_is_free_again_afterwards(group: Group) -> None:
    await asyncio.to_thread(group.bootstrap)
    leader = await asyncio.to_thread(group.leader)
    others = [node for node in group.nodes if node is not leader]
    daemon = StubDaemon("edge-1", [leader])
    key = fresh_key(2)
    async with running(daemon):
        await daemon.wait_for(1)
        for node in others:
            group.freeze(node)
        refused = await daemon.client.ledger.begin(key, "a", 2.0)
        assert isinstance(refused, LedgerRefused)
        assert not refused.expired
        for node in others:
            group.thaw(node)
        await wait_for_grant(daemon, key)
        assert isinstance(await daemon.client.ledger.begin(key, "a", SECONDS), LedgerUnknown)


async def test_of_attempts_racing_while_the_leader_is_killed_at_most_one_is_granted(
    group: Group,
) -> None:
    await asyncio.to_thread(group.bootstrap)
    leader = await asyncio.to_thread(group.leader)
    daemons = [StubDaemon(f"edge-{n}", [node]) for n, node in enumerate(group.nodes)]
    granted: dict[str, list[str]] = defaultdict(list)
    keys = [fresh_key(number) for number in range(KEYS)]

    async def race(daemon: StubDaemon, key: str) -> None:
        attempt = str(daemons.index(daemon))
        if isinstance(await daemon.client.ledger.begin(key, attempt, SECONDS), LedgerGranted):
            granted[key].append(attempt)

    async with running(*daemons):
        for daemon in daemons:
            await daemon.wait_for(1)
        races = [asyncio.create_task(race(daemon, key)) for key in keys for daemon in daemons]
        group.kill(leader)
        group.start(leader)
        await asyncio.gather(*races)
        assert all(len(attempts) == 1 for attempts in granted.values())
        for key in set(keys) - granted.keys():
            await wait_for_grant(daemons[0], key)


async def wait_for_grant(daemon: StubDaemon, key: str) -> None:
    """Retry until granted: the cancel of a refused attempt runs in the background."""
    deadline = clock.now() + SECONDS
    while True:
        answer = await daemon.client.ledger.begin(key, "late", SECONDS)
        if isinstance(answer, LedgerGranted):
            return
        assert clock.now() < deadline, answer
        await asyncio.sleep(0.1)
