"""Looks up a TCP socket by its two addresses through netlink (sock_diag(7)).

Unlike a scan of /proc/net/tcp, which can miss rows while connections change, this lookup is exact
and its cost does not grow with the number of connections.
"""

import socket
import struct

# Constants from linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
ANY_COOKIE = b"\xff" * 8
RECEIVE_BYTES = 8192
"""Exceeds the size of a response for one socket."""

MESSAGE_HEADER = struct.Struct("=IHHII")
"""Length, type, flags, sequence number and port of a netlink message (struct nlmsghdr)."""

REQUEST_HEAD = struct.Struct("=BBBBI")
"""Family, protocol, extensions, padding and states of struct inet_diag_req_v2."""

SOCKET_IDENTITY = struct.Struct("!HH4s12x4s12x")
"""Ports and addresses of struct inet_diag_sockid; an interface and a cookie follow."""

INTERFACE = struct.Struct("=I")
ANSWER_HEAD_BYTES = 4
SOCKET_IDENTITY_BYTES = 48
ANSWER_TAIL = struct.Struct("=IIIII")
"""Timer, queues, user and inode of struct inet_diag_msg."""


def find_socket_inode(local_address: str, remote_address: str) -> int:
    """Return the inode of the TCP socket with these addresses, each ``a.b.c.d:port``.

    The result is 0 if there is no such socket, or no process holds it any more.
    """
    request = _pack_request(local_address, remote_address)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(request)
        answer = netlink.recv(RECEIVE_BYTES)
    _, kind, _, _, _ = MESSAGE_HEADER.unpack_from(answer)
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    offset = MESSAGE_HEADER.size + ANSWER_HEAD_BYTES + SOCKET_IDENTITY_BYTES
    *_, inode = ANSWER_TAIL.unpack_from(answer, offset)
    return int(inode)


def _pack_request(local_address: str, remote_address: str) -> bytes:
    local_host, _, local_port = local_address.rpartition(":")
    remote_host, _, remote_port = remote_address.rpartition(":")
    body = REQUEST_HEAD.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    body += SOCKET_IDENTITY.pack(
        int(local_port),
        int(remote_port),
        socket.inet_aton(local_host),
        socket.inet_aton(remote_host),
    )
    body += INTERFACE.pack(0) + ANY_COOKIE
    length = MESSAGE_HEADER.size + len(body)
    return MESSAGE_HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0) + body
