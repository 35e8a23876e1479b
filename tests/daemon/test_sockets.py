"""Handover of a listening address to a successor loses no connection."""

import socket

from finchshed.daemon.sockets import listening_socket, prefer_successor
from tests.daemon.processes import free_address

CONNECTIONS = 40


def accepted(listener: socket.socket) -> int:
    """Accept all queued connections; return their number."""
    count = 0
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return count
        connection.close()
        count += 1


def connect(address: str) -> list[socket.socket]:
    host, _, port = address.rpartition(":")
    return [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]


def test_new_connections_go_to_the_successor_and_none_is_lost() -> None:
    address = free_address()
    first, second = listening_socket(address), listening_socket(address)
    clients = connect(address)
    assert accepted(first) > 0
    assert accepted(second) > 0
    assert prefer_successor(first)
    clients += connect(address)
    assert accepted(first) == 0
    assert accepted(second) == CONNECTIONS
    first.close()
    clients += connect(address)
    assert accepted(second) == CONNECTIONS
    third = listening_socket(address)
    assert prefer_successor(second)
    clients += connect(address)
    assert (accepted(second), accepted(third)) == (0, CONNECTIONS)
    for held in [*clients, second, third]:
        held.close()


def test_without_a_successor_connections_keep_coming_in() -> None:
    address = free_address()
    only = listening_socket(address)
    assert prefer_successor(only)
    clients = connect(address)
    assert accepted(only) == CONNECTIONS
    for held in [*clients, only]:
        held.close()
