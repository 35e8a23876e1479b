"""Guards against changes that are acknowledged while their sync runs, and go with the power."""

import asyncio
import random
import time
from pathlib import Path

import pytest

from finchshed.control.background import BackgroundTasks
from finchshed.control.raft.host import RaftHost
from finchshed.control.state.commands import RecordAction
from finchshed.control.state.machine import ControlStateMachine
from finchshed.storage.log_store import LogStore, WriteOutcome
from finchshed.storage.records import Write
from tests.control.raft_hosts import only_voter

SYNC_SECONDS = 0.01
CLIENTS = 20
CHANGES = 15
MAX_PAUSE_SECONDS = 0.02
TIMEOUT_SECONDS = 60.0


class SlowDisk:
    """Intercepts writes of the log store: each sync takes a while."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.durable = b""
        """Data of the entries that a finished sync covers."""

        write = LogStore.write

        def slow_write(store: LogStore, writes: list[Write]) -> WriteOutcome:
            time.sleep(SYNC_SECONDS)
            outcome = write(store, writes)
            self.durable += b"".join(entry.data for one in writes for entry in one.entries)
            return outcome

        monkeypatch.setattr(LogStore, "write", slow_write)


async def lead(host: RaftHost) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not host.is_leader:
            await host.wait_for_role_change(1.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_what_is_acknowledged_is_on_the_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    disk = SlowDisk(monkeypatch)
    background = BackgroundTasks(on_invariant_error=lambda error: pytest.fail(str(error)))
    host, _ = only_voter(tmp_path, ControlStateMachine(), background)
    host.start(None)  # type: ignore[arg-type]
    await lead(host)
    rng = random.Random(seed)
    early: list[str] = []

    async def change(client: int) -> None:
        for number in range(CHANGES):
            await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))
            name = f"change-{client}-{number}."
            proposing = asyncio.ensure_future(host.propose(RecordAction("ana", "test", name)))
            # A timer may fire in the same iteration of the loop, and makes a step of its own.
            asyncio.get_running_loop().call_soon(host._on_timer)
            await proposing
            if name.encode() not in disk.durable:
                early.append(name)

    async with asyncio.timeout(TIMEOUT_SECONDS):
        await asyncio.gather(*(change(client) for client in range(CLIENTS)))
    background.cancel()
    await host.stop()
    assert early == []
