"""The listeners of a daemon: opened when it may serve, handed to a successor at a planned stop.

Owns the listening sockets; relies on :mod:`sockets` for sharing an address with a successor.
"""

import asyncio
import socket
from collections.abc import Callable

from finchshed.daemon.sockets import listening_socket, prefer_successor
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Server, serve


class Listeners:
    """Listening sockets and what serves their connections."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        self._servers: list[Server] = []
        self._is_closed = False

    async def open(
        self,
        address: str,
        factory: Callable[[], asyncio.Protocol],
        credentials: Credentials | None = None,
    ) -> None:
        """Listen on ``address``, in plain text without credentials; does nothing once closed."""
        if self._is_closed:
            return
        listener = listening_socket(address)
        self._sockets.append(listener)
        self._servers.append(await serve(factory, credentials, listener))

    def prefer_successor(self) -> None:
        """Have new connections go to a process that listens on the same addresses, if any does."""
        for listener in self._sockets:
            prefer_successor(listener)

    def close(self) -> None:
        """Take no more connections; those taken go on."""
        self._is_closed = True
        for server in self._servers:
            server.close()
        self._servers.clear()
        self._sockets.clear()
