"""Listening sockets that a successor process can share, for restarts without refused connections.

With SO_REUSEPORT the successor listens before its predecessor closes. The kernel distributes new
connections over all listeners and resets those still queued on a closed one. So the predecessor
first directs new connections to the successor, and closes once its accept queue is empty
(socket(7), SO_ATTACH_REUSEPORT_CBPF).
"""

import ctypes
import socket
import struct

from loguru import logger

LISTEN_BACKLOG = 4096
"""Accept queue length; the kernel caps it at net.core.somaxconn (4096 since Linux 5.4)."""

SO_ATTACH_REUSEPORT_CBPF = 51
"""From asm-generic/socket.h; missing in the socket module."""

_BPF_RETURN_CONSTANT = 0x06
"""``BPF_RET | BPF_K`` of linux/filter.h: the program returns its constant."""

_SUCCESSOR_INDEX = 1
"""Sockets of a reuseport group are indexed in the order of their listen calls; the stopping process
has index 0."""


def listening_socket(address: str) -> socket.socket:
    """Bind and listen on ``a.b.c.d:port``, which other processes may share."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setblocking(False)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def prefer_successor(listener: socket.socket) -> bool:
    """Direct new connections to the process that started listening on the address later.

    Without such a process the kernel finds no socket with that index, and ``listener`` keeps
    receiving them. Return False if the kernel doesn't support it; connections are then still
    distributed over all listeners.
    """
    instruction = struct.pack("HBBI", _BPF_RETURN_CONSTANT, 0, 0, _SUCCESSOR_INDEX)
    held = ctypes.create_string_buffer(instruction, len(instruction))
    program = struct.pack("HL", 1, ctypes.addressof(held))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        logger.warning("can't direct new connections to the successor: {}", error)
        return False
    return True
