"""Directory service: registrations are sent at once, repeated and expired."""

import asyncio

import pytest

from finchshed.control.daemons import directory_service, soft_state_broadcaster
from finchshed.control.daemons.directory_service import DirectoryService
from finchshed.control.raft.node_messages import DirectoryReport
from finchshed.directory.registration import InstanceState, Registration
from finchshed.distribution.messages import (
    Announce,
    ControlNodes,
    ControlToDaemon,
    DirectoryUpdate,
)


class SentMessages:
    """Records the messages that a directory service sends."""

    def __init__(self) -> None:
        self.to_daemons: list[ControlToDaemon] = []
        self.to_peers: list[DirectoryReport] = []

    def service(self) -> DirectoryService:
        return DirectoryService(self.to_daemons.append, self.to_peers.append)


def registration(serial: int, host: int = 1) -> Registration:
    address = f"10.0.0.{host}:7000"
    return Registration(address, 1, serial, f"i-{host}", "sales", state=InstanceState.READY)


async def test_registration_of_a_daemon_is_sent_to_daemons_and_peers_once() -> None:
    sent = SentMessages()
    service = sent.service()
    for _ in range(3):
        service.on_announce(Announce(registration(1)))
    assert sent.to_daemons == [DirectoryUpdate((registration(1),))]
    assert sent.to_peers == [DirectoryReport((registration(1),))]


async def test_registration_from_a_peer_is_sent_to_daemons_only() -> None:
    sent = SentMessages()
    service = sent.service()
    service.on_report(DirectoryReport((registration(2),)))
    service.on_report(DirectoryReport((registration(1), registration(1, host=2))))
    await asyncio.sleep(2 * soft_state_broadcaster.BATCH_INTERVAL_SECONDS)
    assert sent.to_daemons == [
        DirectoryUpdate((registration(2),)),
        DirectoryUpdate((registration(1, host=2),)),
    ]
    assert sent.to_peers == []


async def test_connecting_daemon_gets_all_registrations_and_control_nodes() -> None:
    sent = SentMessages()
    service = sent.service()
    service.on_announce(Announce(registration(1)))
    service.set_control_addresses(("10.1.0.1:7621",))
    service.set_control_addresses(("10.1.0.1:7621",))
    assert sent.to_daemons[1:] == [ControlNodes(("10.1.0.1:7621",))]
    assert list(service.initial_messages()) == [
        DirectoryUpdate((registration(1),), is_whole=True),
        ControlNodes(("10.1.0.1:7621",)),
    ]


async def test_own_registrations_are_repeated_to_peers_and_lost_ones_expire(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(directory_service, "REPORT_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(directory_service, "REGISTRATION_EXPIRY_SECONDS", 0.1)
    monkeypatch.setattr(directory_service, "LOCAL_ANNOUNCE_SECONDS", 0.05)
    sent = SentMessages()
    service = sent.service()
    service.on_announce(Announce(registration(1)))
    service.on_report(DirectoryReport((registration(1, host=2),)))
    running = asyncio.create_task(service.run())
    await asyncio.sleep(0.3)
    running.cancel()
    assert sent.to_peers[1] == DirectoryReport((registration(1),))
    assert sent.to_peers[-1] == DirectoryReport(())
    forgotten = [item for item in sent.to_daemons if item.forgotten]  # type: ignore[union-attr]
    assert {address for item in forgotten for address in item.forgotten} == {  # type: ignore[union-attr]
        "10.0.0.1:7000",
        "10.0.0.2:7000",
    }


async def test_return_of_all_machines_is_sent_in_few_updates() -> None:
    sent = SentMessages()
    service = sent.service()
    for host in range(1, 189):
        service.on_announce(Announce(registration(1, host=host)))
        service.on_announce(Announce(registration(2, host=host)))
    await asyncio.sleep(3 * soft_state_broadcaster.BATCH_INTERVAL_SECONDS)
    updates = [item for item in sent.to_daemons if isinstance(item, DirectoryUpdate)]
    assert len(updates) <= 3
    latest = {item.address: item.serial for update in updates for item in update.registrations}
    assert latest == {f"10.0.0.{host}:7000": 2 for host in range(1, 189)}


async def test_single_change_is_sent_immediately() -> None:
    sent = SentMessages()
    service = sent.service()
    service.on_announce(Announce(registration(1)))
    await asyncio.sleep(3 * soft_state_broadcaster.BATCH_INTERVAL_SECONDS)
    service.on_announce(Announce(registration(2)))
    assert sent.to_daemons == [
        DirectoryUpdate((registration(1),)),
        DirectoryUpdate((registration(2),)),
    ]
