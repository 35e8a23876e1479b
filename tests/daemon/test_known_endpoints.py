"""A directory update is applied once, with a bounded number of log lines."""

from unittest.mock import Mock

from loguru import logger

from finchshed.daemon.calling.endpoints import MAX_LOGGED_REGISTRATIONS, KnownEndpoints
from finchshed.directory.registration import InstanceState, Registration
from finchshed.distribution.messages import DirectoryUpdate


def registration(host: int, serial: int = 1, instance: str = "i") -> Registration:
    state = InstanceState.READY if instance else InstanceState.GONE
    name = f"{instance}-{host}" if instance else ""
    return Registration(f"10.0.0.{host}:7000", 1, serial, name, "sales", slots=4, state=state)


def logged(endpoints: KnownEndpoints, update: DirectoryUpdate) -> list[str]:
    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(message.record["message"]), level="INFO")
    endpoints.on_update(update)
    logger.remove(sink)
    return lines


def test_daemons_without_a_back_end_do_not_change_the_routing_table() -> None:
    table, links = Mock(), Mock()
    endpoints = KnownEndpoints(table, links)
    without_backend = tuple(registration(host, instance="") for host in range(188))
    assert logged(endpoints, DirectoryUpdate(without_backend)) == []
    table.replace.assert_not_called()
    assert len(endpoints) == 188


def test_large_update_is_applied_once_and_summarized() -> None:
    table, links = Mock(), Mock()
    endpoints = KnownEndpoints(table, links)
    update = DirectoryUpdate(tuple(registration(host) for host in range(188)))
    lines = logged(endpoints, update)
    assert len(lines) == MAX_LOGGED_REGISTRATIONS + 1
    assert lines[-1] == "told of 180 more back ends: 180 of sales ready"
    table.replace.assert_called_once()


def test_back_end_that_is_gone_is_removed() -> None:
    table, links = Mock(), Mock()
    endpoints = KnownEndpoints(table, links)
    endpoints.on_update(DirectoryUpdate((registration(1), registration(2))))
    gone = Registration("10.0.0.1:7000", 1, 2, "i-1", "sales", state=InstanceState.GONE)
    assert len(logged(endpoints, DirectoryUpdate((gone,)))) == 1
    assert set(links.set_endpoints.call_args.args[0]) == {"i-2"}


def test_restarted_daemon_removes_its_previous_back_end() -> None:
    table, links = Mock(), Mock()
    endpoints = KnownEndpoints(table, links)
    endpoints.on_update(DirectoryUpdate((registration(1), registration(2))))
    restarted = Registration("10.0.0.1:7000", 2, 0)
    assert len(logged(endpoints, DirectoryUpdate((restarted,)))) == 1
    assert set(links.set_endpoints.call_args.args[0]) == {"i-2"}
