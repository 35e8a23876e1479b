"""Opens and accepts connections on the event loop, with TLS or in plain text.

``create_server(ssl=...)`` isn't used: it binds one context for the listener's lifetime, so that
changed files would need a restart, and it doesn't report failed handshakes. ``start_tls`` isn't
used on accepted connections: uvloop starts to read before the TLS protocol is in place and can
lose the peer's first bytes.
"""

import asyncio
import socket
import ssl
from collections.abc import Callable, Sequence
from typing import Protocol

from loguru import logger

from finchshed.tls.credentials import Credentials
from finchshed.tls.names import (
    REFUSED_CONNECTIONS,
    CertificateRole,
    format_identities,
    has_role,
    peer_identities,
)

DEFAULT_BACKLOG = 100
ACCEPT_PAUSE_SECONDS = 0.1
MAX_HANDSHAKES = 1024
"""Maximum concurrent handshakes per listener; further connections wait in its backlog."""

HANDSHAKE_SECONDS = 5.0
"""Time limit of a handshake; the connection is closed when it expires."""

MakeProtocol = Callable[[], asyncio.BaseProtocol]


class Server(Protocol):
    """A running server, with TLS or in plain text."""

    @property
    def sockets(self) -> Sequence[socket.socket]:
        """Sockets that the server listens on."""

    def close(self) -> None:
        """Stop accepting connections; open ones continue."""


async def start_server(
    make_protocol: MakeProtocol, credentials: Credentials | None, listener: socket.socket
) -> Server:
    """Accept connections on ``listener``; without credentials in plain text."""
    listener.setblocking(False)
    if credentials is not None:
        return TlsServer(make_protocol, credentials, listener)
    return await asyncio.get_running_loop().create_server(make_protocol, sock=listener)


def listening_socket(host: str, port: int, backlog: int = DEFAULT_BACKLOG) -> socket.socket:
    """Return a socket that listens on ``host``; port 0 selects a free port."""
    return socket.create_server((host, port), backlog=backlog)


class Connector:
    """Opens connections over TLS, or in plain text without credentials.

    Parameters
    ----------
    role
        Role required of the peer's certificate; None if the caller checks the identity claimed in
        the peer's first message.
    """

    def __init__(
        self, credentials: Credentials | None, role: CertificateRole | None = None
    ) -> None:
        self._credentials = credentials
        self._role = role

    async def __call__(
        self, make_protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Open a connection and return its transport and protocol.

        Raises
        ------
        OSError
            The peer can't be reached, or its certificate isn't accepted.
        """
        loop = asyncio.get_running_loop()
        if self._credentials is None:
            return await loop.create_connection(make_protocol, host, port)
        context = self._credentials.client_context()
        try:
            transport, protocol = await loop.create_connection(
                make_protocol, host, port, ssl=context
            )
        except ssl.SSLError as error:
            _record_failed_handshake(f"{host}:{port}", error)
            raise
        names = peer_identities(transport) or frozenset()
        if self._role is not None and not has_role(names, self._role):
            transport.abort()
            REFUSED_CONNECTIONS.labels("name").inc()
            problem = f"{host}:{port} is {format_identities(names)}, not a {self._role} node"
            logger.warning("connection closed: {}", problem)
            raise ConnectionAbortedError(problem)
        return transport, protocol


class TlsServer:
    """Accepts TLS connections; each gets its protocol once the handshake has succeeded.

    Parameters
    ----------
    listener
        Listening socket; closed with the server.
    """

    def __init__(
        self, make_protocol: MakeProtocol, credentials: Credentials, listener: socket.socket
    ) -> None:
        self.sockets = (listener,)
        self._make_protocol = make_protocol
        self._credentials = credentials
        self._handshake_slots = asyncio.Semaphore(MAX_HANDSHAKES)
        self._handshakes: set[asyncio.Task[None]] = set()
        self._accept_task = asyncio.get_running_loop().create_task(self._accept_forever(listener))
        # The socket may only be closed once the loop no longer watches it.
        self._accept_task.add_done_callback(lambda _: listener.close())

    def close(self) -> None:
        """Stop accepting connections; open ones continue."""
        self._accept_task.cancel()

    async def _accept_forever(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._handshake_slots.acquire()
            try:
                accepted, address = await loop.sock_accept(listener)
            except OSError as error:
                # Out of file descriptors, or the peer has already closed the connection.
                logger.warning("accepting a connection failed: {}", error)
                self._handshake_slots.release()
                await asyncio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            task = loop.create_task(self._perform_handshake(accepted, address))
            self._handshakes.add(task)
            task.add_done_callback(self._handshakes.discard)

    async def _perform_handshake(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_protocol,
                accepted,
                ssl=self._credentials.server_context(),
                ssl_handshake_timeout=HANDSHAKE_SECONDS,
            )
        except OSError as error:
            _record_failed_handshake(f"{address[0]}:{address[1]}", error)
            accepted.close()
        finally:
            self._handshake_slots.release()


def _record_failed_handshake(peer: str, error: Exception) -> None:
    REFUSED_CONNECTIONS.labels("handshake").inc()
    logger.warning("TLS handshake with {} failed: {}", peer, error)
