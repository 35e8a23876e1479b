"""Listening sockets that a successor process can share.

The address is bound with SO_REUSEPORT, so the next process listens on it before the last one has
closed it, and at no time nobody does. The kernel spreads new connections over all that listen; a
connection that waits in the queue of a socket that is closed is reset. So the process that leaves
first has new connections sent to its successor, and closes when its own queue has run empty
(socket(7), SO_ATTACH_REUSEPORT_CBPF).
"""

import ctypes
import socket
import struct

from loguru import logger

LISTEN_BACKLOG = 4096
"""Connections that may wait to be accepted; the kernel caps it at net.core.somaxconn (4096 on Linux
since 5.4)."""

SO_ATTACH_REUSEPORT_CBPF = 51
"""From asm-generic/socket.h; the socket module doesn't name it."""

_BPF_RETURN_CONSTANT = 0x06
"""``BPF_RET | BPF_K`` of linux/filter.h: the program returns its constant."""

_SUCCESSOR_INDEX = 1
"""Sockets of a group are numbered in the order of their listen calls; the leaving one is 0."""


def listening_socket(address: str) -> socket.socket:
    """Bind and listen on ``a.b.c.d:port``; other processes may share the address."""
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
    """Have new connections go to the process that listens on the address since later.

    Where there is none, the kernel finds no socket of that number and ``listener`` keeps getting
    them. Return False where the kernel can't do it; it then goes on spreading them.
    """
    instruction = struct.pack("HBBI", _BPF_RETURN_CONSTANT, 0, 0, _SUCCESSOR_INDEX)
    held = ctypes.create_string_buffer(instruction, len(instruction))
    program = struct.pack("HL", 1, ctypes.addressof(held))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        logger.warning("new connections can't be directed to a successor: {}", error)
        return False
    return True
