import os
import socket

from finchshed.fleet.socket_diagnosis import inode_between
from finchshed.fleet.sockets import descriptors_of, holder_of


def address_of(name: tuple[str, int]) -> str:
    return f"{name[0]}:{name[1]}"


def test_holder_of_a_connection_is_found() -> None:
    with socket.socket() as server, socket.socket() as client:
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        inode = inode_between(address_of(client.getsockname()), address_of(client.getpeername()))
        assert inode
        assert holder_of(inode, [os.getpid()]) == os.getpid()
        assert holder_of(inode, []) == 0


def test_each_end_of_a_connection_has_its_own_inode() -> None:
    with socket.socket() as server, socket.socket() as client:
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        accepted, _ = server.accept()
        with accepted:
            here, there = (address_of(end.getsockname()) for end in (client, accepted))
            assert inode_between(here, there) == os.fstat(client.fileno()).st_ino
            assert inode_between(there, here) == os.fstat(accepted.fileno()).st_ino


def test_addresses_without_a_connection_have_no_inode() -> None:
    assert inode_between("127.255.255.1:1", "127.255.255.2:1") == 0


def test_process_that_is_gone_has_nothing() -> None:
    assert descriptors_of(2**22 + 1) == []
