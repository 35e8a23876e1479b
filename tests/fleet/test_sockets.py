import os
import socket

from finchshed.fleet.socket_diagnosis import find_socket_inode
from finchshed.fleet.sockets import find_socket_holder, list_descriptors


def address_of(name: tuple[str, int]) -> str:
    return f"{name[0]}:{name[1]}"


def test_process_that_holds_a_socket_is_found() -> None:
    with socket.socket() as server, socket.socket() as client:
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        inode = find_socket_inode(
            address_of(client.getsockname()), address_of(client.getpeername())
        )
        assert inode
        assert find_socket_holder(inode, [os.getpid()]) == os.getpid()
        assert find_socket_holder(inode, []) == 0


def test_each_end_of_a_connection_has_its_own_inode() -> None:
    with socket.socket() as server, socket.socket() as client:
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        accepted, _ = server.accept()
        with accepted:
            here, there = (address_of(end.getsockname()) for end in (client, accepted))
            assert find_socket_inode(here, there) == os.fstat(client.fileno()).st_ino
            assert find_socket_inode(there, here) == os.fstat(accepted.fileno()).st_ino


def test_addresses_without_a_connection_have_no_inode() -> None:
    assert find_socket_inode("127.255.255.1:1", "127.255.255.2:1") == 0


def test_exited_process_has_no_descriptors() -> None:
    assert list_descriptors(2**22 + 1) == []
