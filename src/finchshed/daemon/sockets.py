"""Listening sockets that a successor process can share.

The address is bound with SO_REUSEPORT, so the next process listens on it before the last one has
closed it, and at no time nobody does.
"""

import socket

LISTEN_BACKLOG = 4096


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
