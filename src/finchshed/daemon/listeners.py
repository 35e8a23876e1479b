"""Listening sockets of a daemon, with handover to a successor process at a planned stop."""

import asyncio
import socket
from collections.abc import Callable

from finchshed.daemon.sockets import listening_socket, prefer_successor
from finchshed.tls.credentials import Credentials
from finchshed.tls.handshakes import Server, start_server


class Listeners:
    """Listening sockets and their servers."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        self._servers: list[Server] = []
        self._is_closed = False

    async def open(
        self,
        address: str,
        factory: Callable[[], asyncio.BaseProtocol],
        credentials: Credentials | None = None,
    ) -> None:
        """Listen on ``address``, under TLS if ``credentials`` are given; no-op once closed."""
        if self._is_closed:
            return
        listener = listening_socket(address)
        self._sockets.append(listener)
        self._servers.append(await start_server(factory, credentials, listener))

    def prefer_successor(self) -> None:
        """Direct new connections to a successor on the same addresses, if there is one."""
        for listener in self._sockets:
            prefer_successor(listener)

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        self._is_closed = True
        for server in self._servers:
            server.close()
        self._servers.clear()
        self._sockets.clear()
