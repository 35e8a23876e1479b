"""Control group of separate processes for tests."""

import contextlib
import hashlib
import itertools
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from finchshed.configuration.changes import Accepted, ChangeResult
from finchshed.configuration.difference import Difference
from finchshed.configuration.resources import Operator, Resource
from finchshed.ctl.changes import DeclaredConfiguration, read_configuration, submit_change
from finchshed.ctl.client import OperatorClient
from finchshed.runtime import clock

BOOTSTRAP_TOKEN = "bootstrap-secret"
OPERATOR_TOKEN = "operator-secret"
START_SECONDS = 20.0


def digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


_hosts = itertools.count()


def free_addresses(count: int) -> list[str]:
    """Return free addresses on a loopback host that no other test process uses.

    A free port of 127.0.0.1 could be taken by another process's outgoing connection.
    """
    process, number = os.getpid(), next(_hosts)
    host = f"127.{16 + process // 256 % 200}.{process % 256}.{1 + number % 250}"
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind((host, 0))
        return [f"{host}:{item.getsockname()[1]}" for item in sockets]


class Node(msgspec.Struct):
    name: str
    folder: Path
    raft: str
    distribution: str
    rpc: str
    process: subprocess.Popen[bytes] | None = None


class Group:
    """Control nodes started by the command line, each in its own process."""

    def __init__(
        self, folder: Path, voters: int = 3, spares: int = 0, standby_after: float = 60.0
    ) -> None:
        self.folder = folder
        self.standby_after = standby_after
        self.extra_settings = ""
        addresses = iter(free_addresses(3 * (voters + spares)))
        self.nodes = [
            Node(f"control-{n}", folder / f"control-{n}", *(next(addresses) for _ in range(3)))
            for n in range(1, voters + spares + 1)
        ]
        self.voters = self.nodes[:voters]

    def settings_of(self, node: Node) -> Path:
        voters = ", ".join(f'"{voter.name}={voter.raft}"' for voter in self.voters)
        path = self.folder / f"{node.name}.toml"
        path.write_text(
            f'node = "{node.name}"\nregion = "texas"\nzone = "a"\n'
            f'data_folder = "{node.folder}"\nraft_address = "{node.raft}"\n'
            f'distribution_address = "{node.distribution}"\nrpc_address = "{node.rpc}"\n'
            f"voters = [{voters}]\n"
            f'bootstrap_token_sha256 = "{digest(BOOTSTRAP_TOKEN)}"\n'
            "election_timeout_seconds = 0.5\nheartbeat_seconds = 0.05\n"
            f"standby_after_seconds = {self.standby_after}\n"
            "request_timeout_seconds = 5.0\nsnapshot_entries = 200\nstop_seconds = 1.0\n"
            f"{self.extra_settings}"
        )
        return path

    def start(self, node: Node) -> None:
        log = (self.folder / f"{node.name}.log").open("ab")
        node.process = subprocess.Popen(
            [sys.executable, "-m", "finchshed", "control", "--settings", self.settings_of(node)],
            stdout=log,
            stderr=log,
        )
        log.close()

    def start_all(self, nodes: list[Node] | None = None) -> None:
        for node in nodes or self.voters:
            self.start(node)

    def kill(self, node: Node) -> None:
        assert node.process is not None
        node.process.kill()
        node.process.wait()
        node.process = None

    def stop(self, node: Node) -> int:
        assert node.process is not None
        node.process.terminate()
        code = node.process.wait(timeout=START_SECONDS)
        node.process = None
        return code

    def freeze(self, node: Node) -> None:
        assert node.process is not None
        os.kill(node.process.pid, signal.SIGSTOP)

    def thaw(self, node: Node) -> None:
        assert node.process is not None
        os.kill(node.process.pid, signal.SIGCONT)

    def lose_disk(self, node: Node) -> None:
        shutil.rmtree(node.folder)

    def close(self) -> None:
        for node in self.nodes:
            if node.process is not None:
                self.thaw(node)
                self.kill(node)

    def client(
        self, nodes: list[Node] | None = None, token: str = OPERATOR_TOKEN, timeout: float = 20.0
    ) -> OperatorClient:
        addresses = tuple(node.rpc for node in nodes or self.nodes)
        return OperatorClient(addresses, token, timeout)

    def bootstrap(self, *resources: Resource) -> int:
        """Declare the operator and ``resources``; return the revision."""
        operator = Operator(name="ana", token_sha256=digest(OPERATOR_TOKEN))
        client = self.client(self.voters, BOOTSTRAP_TOKEN, START_SECONDS)
        result = submit_change(client, "bootstrap-1", 0, Difference((operator, *resources), ()))
        client.close()
        assert isinstance(result, Accepted), result
        return result.revision

    def leader(self, timeout: float = START_SECONDS) -> Node:
        """Return the node that reports itself as leader."""
        from finchshed.rpc.generated import finchshed_pb2 as pb

        deadline = clock.now() + timeout
        running = [node for node in self.nodes if node.process is not None]
        client = self.client(running)
        try:
            while clock.now() < deadline:
                for _, answer in client.call_each("Members", pb.MembersRequest()).answers:
                    if answer.leader == answer.node:
                        return next(node for node in self.nodes if node.name == answer.leader)
                time.sleep(0.1)
        finally:
            client.close()
        raise AssertionError(f"no leader within {timeout} s")


def apply_one(client: OperatorClient, change_id: str, resource: Resource) -> ChangeResult:
    """Apply ``resource`` against the revision in force."""
    current: DeclaredConfiguration = read_configuration(client)
    return submit_change(client, change_id, current.revision, Difference((resource,), ()))
