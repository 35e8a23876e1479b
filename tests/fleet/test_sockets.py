import os
import socket

from finchshed.fleet.sockets import children_of, descriptors_of, holder_of, inode_of


def test_holder_of_a_connection_is_found() -> None:
    with socket.socket() as server, socket.socket() as client:
        server.bind(("127.0.0.1", 0))
        server.listen(1)
        client.connect(server.getsockname())
        host, port = client.getsockname()
        inode = inode_of(f"{host}:{port}")
        assert inode
        assert holder_of(inode, [os.getpid()]) == os.getpid()
        assert holder_of(inode, []) == 0


def test_unbound_address_has_no_inode() -> None:
    assert inode_of("127.255.255.1:1") == ""


def test_process_that_is_gone_has_nothing() -> None:
    assert descriptors_of(2**22 + 1) == []
    assert children_of(2**22 + 1) == []
