"""A control group of real processes on this machine, for measurement."""

import asyncio
import hashlib
import os
import random
import signal
import socket
import sys
from collections.abc import Sequence
from pathlib import Path

from finchshed.common.errors import FinchshedError
from finchshed.configuration.changes import Accepted
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Operator, Resource
from finchshed.ctl.changes import submit
from finchshed.ctl.client import OperatorClient
from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.client import ControlClient
from finchshed.distribution.client_handlers import ClientHandlers
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import Delta
from finchshed.rpc.generated import finchshed_pb2 as pb

TOKEN = "bench-secret"
ANSWER_SECONDS = 30.0


class GroupError(FinchshedError):
    """The group didn't do what the measurement needs."""


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    finally:
        for item in sockets:
            item.close()


class BenchNode:
    """One control node and its process."""

    def __init__(self, name: str, folder: Path, addresses: Sequence[str]) -> None:
        self.name = name
        self.folder = folder
        self.raft, self.distribution, self.rpc = addresses
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        if self.process is None:
            raise GroupError(f"{self.name} doesn't run")
        return self.process.pid


class BenchGroup:
    """Control nodes with the settings of production, but for addresses and folders.

    Parameters
    ----------
    folder
        Settings, data and logs.
    voters
        Number of nodes.
    settings
        Further lines of every settings file.
    """

    def __init__(self, folder: Path, voters: int, settings: Sequence[str] = ()) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        addresses = free_addresses(3 * voters)
        self._folder = folder
        self._settings = settings
        self.nodes = [
            BenchNode(f"c{n + 1}", folder / f"c{n + 1}", addresses[3 * n : 3 * n + 3])
            for n in range(voters)
        ]

    async def start(self, node: BenchNode) -> None:
        """Start a node's process."""
        with (self._folder / f"{node.name}.log").open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "finchshed",
                "control",
                f"--settings={self._write_settings(node)}",
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
            )

    async def kill(self, node: BenchNode) -> None:
        """Kill a node's process."""
        if node.process is not None:
            node.process.send_signal(signal.SIGKILL)
            await node.process.wait()
            node.process = None

    async def close(self) -> None:
        """Kill every process."""
        for node in self.nodes:
            await self.kill(node)

    def client(self, nodes: Sequence[BenchNode] | None = None) -> OperatorClient:
        """Return an operator's client."""
        return OperatorClient(
            tuple(node.rpc for node in nodes or self.nodes), TOKEN, ANSWER_SECONDS
        )

    async def bootstrap(self, resources: Sequence[Resource] = ()) -> None:
        """Declare the operator and ``resources``."""
        operator = Operator("bench", hashlib.sha256(TOKEN.encode()).hexdigest())
        client = self.client()
        changed = Difference((operator, *resources), ())
        result = await asyncio.to_thread(submit, client, "first", 0, changed)
        client.close()
        if not isinstance(result, Accepted):
            raise GroupError(f"the first change wasn't accepted: {result}")

    async def leader(self) -> BenchNode:
        """Return the leader."""
        client = self.client()
        try:
            for _ in range(100):
                answers = await asyncio.to_thread(client.call_each, "Members", pb.MembersRequest())
                for _, answer in answers.answers:
                    if isinstance(answer, pb.MembersResponse) and answer.node == answer.leader:
                        return next(node for node in self.nodes if node.name == answer.leader)
                await asyncio.sleep(0.1)
        finally:
            client.close()
        raise GroupError("no leader in time")

    def _write_settings(self, node: BenchNode) -> Path:
        voters = ", ".join(f'"{voter.name}={voter.raft}"' for voter in self.nodes)
        lines = [
            f'node = "{node.name}"',
            'region = "bench"',
            'zone = "bench"',
            f'data_folder = "{node.folder}"',
            f'raft_address = "{node.raft}"',
            f'distribution_address = "{node.distribution}"',
            f'rpc_address = "{node.rpc}"',
            f"voters = [{voters}]",
            f'bootstrap_token_sha256 = "{hashlib.sha256(TOKEN.encode()).hexdigest()}"',
            *self._settings,
        ]
        path = self._folder / f"{node.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path


class LedgerUser:
    """A daemon as far as the ledger sees it."""

    def __init__(self, name: str, node: BenchNode) -> None:
        self._revision = 0
        self._connected = asyncio.Event()
        handlers = ClientHandlers(
            on_delta=self._on_delta,
            on_connected=self._connected.set,
            on_lost=self._connected.clear,
            revision_held=lambda: self._revision,
            revision_in_force=lambda: self._revision,
        )
        self.client = ControlClient(
            ClientIdentity(name, "1", "bench", "bench"),
            [ControlAddress(node.distribution)],
            handlers,
            random.Random(name),
        )
        self._task = asyncio.create_task(self.client.run())

    async def wait(self) -> None:
        """Return once connected."""
        await asyncio.wait_for(self._connected.wait(), ANSWER_SECONDS)

    def close(self) -> None:
        """End the connection."""
        self._task.cancel()

    def _on_delta(self, delta: Delta) -> None:
        self._revision = max(self._revision, delta.revision)
