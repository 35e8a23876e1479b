"""Raft host with a disk that blocks or is full."""

import asyncio
import threading
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.group_log import GroupLog
from finchshed.control.raft.node_links import ControlNodeLinks
from finchshed.control.raft.node_messages import PeerHello
from finchshed.control.state.commands import RecordAction
from finchshed.control.state.machine import ControlStateMachine
from finchshed.storage.log_store import LogStore, WriteOutcome
from finchshed.storage.records import Write
from tests.control.raft_hosts import only_voter

TIMEOUT_SECONDS = 30.0


class BlockableDisk:
    """Intercepts writes of the log store."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_write = threading.Event()
        self.may_write.set()
        self.is_full = False
        write = LogStore.write

        def blockable_write(store: LogStore, writes: list[Write]) -> WriteOutcome:
            self.may_write.wait(TIMEOUT_SECONDS)
            return WriteOutcome.DISK_FULL if self.is_full else write(store, writes)

        monkeypatch.setattr(LogStore, "write", blockable_write)


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> BlockableDisk:
    return BlockableDisk(monkeypatch)


@pytest.fixture
async def log(tmp_path: Path, disk: BlockableDisk) -> AsyncIterator[GroupLog]:
    background = BackgroundTasks(on_invariant_error=lambda error: pytest.fail(str(error)))
    machine = ControlStateMachine()
    host, address = only_voter(tmp_path, machine, background)
    made = GroupLog(host, machine, background, timeout_seconds=TIMEOUT_SECONDS)
    links = ControlNodeLinks(PeerHello("c1", ""), made.on_message, background)
    await links.start(address)
    made.start(links)
    yield made
    disk.is_full = False
    disk.may_write.set()
    background.cancel()
    links.stop()
    await host.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110 - the node signals no event for it
            await asyncio.sleep(0.01)


async def test_a_node_whose_write_does_not_return_gives_its_daemons_up_until_it_does(
    log: GroupLog, disk: BlockableDisk
) -> None:
    await log.propose(RecordAction("ana", "test", "before"))
    assert log.in_contact()
    disk.may_write.clear()
    proposing = asyncio.create_task(log.propose(RecordAction("ana", "test", "held")))
    await wait_until(lambda: not log.in_contact())
    assert log.status().leader == "c1"
    disk.may_write.set()
    await proposing
    await wait_until(log.in_contact)


async def test_a_node_with_a_full_disk_is_not_in_contact(
    log: GroupLog, disk: BlockableDisk
) -> None:
    await log.propose(RecordAction("ana", "test", "before"))
    disk.is_full = True
    proposing = asyncio.create_task(log.propose(RecordAction("ana", "test", "full")))
    await wait_until(lambda: not log.in_contact())
    disk.is_full = False
    await proposing
    await wait_until(log.in_contact)
