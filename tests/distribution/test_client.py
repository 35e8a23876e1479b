"""Integration tests of the hub server, control client and follower runner over loopback."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import pytest
import pytest_asyncio

from finchshed.configuration.resources import Endpoint, Service
from finchshed.directory.registration import Registration
from finchshed.distribution import client as client_module
from finchshed.distribution import control_dialer
from finchshed.distribution.addresses import ControlAddress
from finchshed.distribution.effects import ServingBasis
from finchshed.distribution.follower_runner import FollowerRunner
from finchshed.distribution.hub import Hub
from finchshed.distribution.identity import ClientIdentity
from finchshed.distribution.messages import (
    Announce,
    Delta,
    LedgerBegin,
    LedgerCancel,
    LedgerGranted,
    LedgerNoted,
    LedgerRefused,
    LedgerRequest,
)
from finchshed.distribution.server import Answer, HubServer
from finchshed.distribution.snapshot import Configuration

TIMEOUT_SECONDS = 20.0


def change(revision: int) -> Delta:
    return Delta(revision - 1, revision, puts=(Service(name=f"s{revision}"),))


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110 - conditions of other tasks have no event
            await asyncio.sleep(0.01)


class ControlNode:
    """A hub server whose quorum and ledger answers can be switched off."""

    def __init__(self) -> None:
        self.hub = Hub("c")
        self.has_quorum = True
        self.requests: list[LedgerRequest] = []
        self.answers_ledger = True
        self.announced: list[Announce] = []
        self.server = HubServer(
            self.hub, self.confirm, self.on_ledger, on_announce=self.announced.append
        )
        self.port = 0

    async def confirm(self) -> bool:
        return self.has_quorum

    def on_ledger(self, request: LedgerRequest, answer: Answer) -> None:
        self.requests.append(request)
        if not self.answers_ledger:
            return
        if isinstance(request, LedgerBegin):
            answer(LedgerGranted(request.request))
        else:
            answer(LedgerNoted(request.request))

    async def start(self) -> ControlAddress:
        self.port = await self.server.start("127.0.0.1", 0)
        self.server.set_quorum_contact(True)
        return ControlAddress(f"127.0.0.1:{self.port}")


class Daemon:
    """A follower listener that records the effects it receives."""

    def __init__(self, addresses: list[ControlAddress], folder: Path | None = None) -> None:
        identity = ClientIdentity("n1", "1", "licence", "z1")
        self.bases: list[ServingBasis] = []
        self.revisions: list[int] = []
        self.runner = FollowerRunner(identity, addresses, self, random.Random(1), folder)
        self.task = asyncio.create_task(self.runner.run())

    def take_effect(self, previous: Configuration, current: Configuration) -> None:
        self.revisions.append(current.revision)

    def start_serving(self, basis: ServingBasis) -> None:
        self.bases.append(basis)

    def fetch_from_peer(self, peer: str, revision: int) -> None:
        pass

    def connect_to_peers(self, endpoints: tuple[Endpoint, ...]) -> None:
        pass


Starter = Callable[[], Awaitable[tuple[ControlNode, ControlAddress]]]


@pytest_asyncio.fixture
async def start_node() -> AsyncIterator[Starter]:
    nodes: list[ControlNode] = []

    async def start() -> tuple[ControlNode, ControlAddress]:
        node = ControlNode()
        nodes.append(node)
        return node, await node.start()

    yield start
    for node in nodes:
        await node.server.close()


async def test_changes_reach_a_daemon_that_reports_them_in_force(start_node: Starter) -> None:
    node, address = await start_node()
    node.server.commit(change(1))
    daemon = Daemon([address])
    await wait_until(lambda: daemon.bases == [ServingBasis.QUORUM])
    node.server.commit(change(2))
    await wait_until(lambda: daemon.revisions[-1] == 2)
    await wait_until(lambda: [s.revision for s in node.hub.collect_report(True).daemons] == [2])
    assert daemon.revisions == sorted(set(daemon.revisions))
    daemon.task.cancel()


async def test_configuration_is_held_but_not_served_without_a_quorum(
    start_node: Starter,
) -> None:
    node, address = await start_node()
    node.has_quorum = False
    node.server.commit(change(1))
    daemon = Daemon([address])
    await wait_until(lambda: daemon.revisions == [1])
    await asyncio.sleep(1.0)
    assert not daemon.runner.follower.may_serve
    node.has_quorum = True
    await wait_until(lambda: daemon.runner.follower.may_serve)
    daemon.task.cancel()


async def test_daemon_leaves_a_lost_node_and_one_without_a_quorum(
    start_node: Starter,
) -> None:
    first, first_address = await start_node()
    second, second_address = await start_node()
    daemon = Daemon([first_address, second_address])
    await wait_until(lambda: daemon.runner.client.is_connected)
    at_first = first.hub.subscriber_count() == 1
    here, there = (first, second) if at_first else (second, first)
    here.server.set_quorum_contact(False)
    await wait_until(lambda: there.hub.subscriber_count() == 1)
    here.server.set_quorum_contact(True)
    await there.server.close()
    await wait_until(lambda: here.hub.subscriber_count() == 1)
    daemon.task.cancel()


async def test_daemon_leaves_a_silent_node(
    start_node: Starter, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_module, "CONTROL_TIMEOUT_SECONDS", 0.6)
    silent = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
    port = silent.sockets[0].getsockname()[1]
    node, address = await start_node()
    daemon = Daemon([ControlAddress(f"127.0.0.1:{port}", "z1"), address])
    await wait_until(lambda: node.hub.subscriber_count() == 1)
    daemon.task.cancel()
    silent.close()


async def test_daemon_returns_to_its_own_zone_once_reachable(
    start_node: Starter, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(control_dialer, "OWN_ZONE_PROBE_SECONDS", 0.3)
    own, own_address = await start_node()
    other, other_address = await start_node()
    await own.server.close()
    home = ControlAddress(own_address.address, "z1")
    away = ControlAddress(other_address.address, "z2")
    daemon = Daemon([home, away])
    await wait_until(lambda: other.hub.subscriber_count() == 1)
    await asyncio.sleep(1.0)
    assert daemon.runner.client.connections_made == 1
    await own.server.start("127.0.0.1", own.port)
    await wait_until(lambda: own.hub.subscriber_count() == 1)
    await wait_until(lambda: other.hub.subscriber_count() == 0)
    daemon.task.cancel()


async def test_restarted_daemon_subscribes_from_its_recorded_revision(
    start_node: Starter, tmp_path: Path
) -> None:
    node, address = await start_node()
    node.server.commit(change(1))
    node.server.commit(change(2))
    daemon = Daemon([address], tmp_path)
    await wait_until(lambda: daemon.runner.follower.may_serve)
    daemon.task.cancel()
    node.server.commit(change(3))
    again = Daemon([address], tmp_path)
    assert again.runner.follower.held_revision == 2
    await wait_until(lambda: again.runner.follower.may_serve)
    assert again.revisions == [2, 3]
    again.task.cancel()


async def test_pending_ledger_requests_are_resent_on_the_next_connection(
    start_node: Starter,
) -> None:
    node, address = await start_node()
    daemon = Daemon([address])
    client = daemon.runner.client
    await wait_until(lambda: client.is_connected)
    assert isinstance(await client.ledger.begin("k1", "a1", 10.0), LedgerGranted)
    node.answers_ledger = False
    asking = asyncio.create_task(client.ledger.begin("k2", "a2", 10.0))
    await wait_until(lambda: len(node.requests) == 2)
    node.answers_ledger = True
    await node.server.close()
    await node.server.start("127.0.0.1", node.port)
    assert isinstance(await asking, LedgerGranted)
    daemon.task.cancel()


async def test_attempt_without_a_timely_grant_is_cancelled(start_node: Starter) -> None:
    node, address = await start_node()
    node.answers_ledger = False
    daemon = Daemon([address])
    client = daemon.runner.client
    await wait_until(lambda: client.is_connected)
    assert isinstance(await client.ledger.begin("k", "a", 0.1), LedgerRefused)
    await wait_until(lambda: isinstance(node.requests[-1], LedgerCancel))
    daemon.task.cancel()


# Guards against registrations that expire while changes come faster than a daemon's reports.
async def test_a_back_end_is_announced_while_changes_come_in_quick_succession(
    start_node: Starter,
) -> None:
    node, address = await start_node()
    node.server.commit(change(1))
    daemon = Daemon([address])
    daemon.runner.client.registration = lambda: Registration("127.0.0.1:1", 1, 1)
    await wait_until(lambda: daemon.bases == [ServingBasis.QUORUM])
    node.announced.clear()
    for revision in range(2, 32):
        node.server.commit(change(revision))
        await asyncio.sleep(client_module.HEARTBEAT_INTERVAL_SECONDS / 10)
    assert len(node.announced) >= 2
    daemon.task.cancel()
