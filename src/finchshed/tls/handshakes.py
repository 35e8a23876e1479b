"""Both ends of a connection's TLS handshake on the event loop.

A listener's handshakes are made here, not by ``create_server(ssl=...)``: that binds one context for
the listener's life, so new files would need a restart, and it tells nobody of a handshake that
failed, so a stranger would leave no line in the log. ``start_tls`` on an accepted connection isn't
used either: uvloop begins to read before the handshake's protocol is in place, and now and then
loses the peer's first bytes.
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
"""Handshakes in progress on a listener; more connections wait in its backlog."""

HANDSHAKE_SECONDS = 5.0
"""A peer that hasn't ended its handshake after this long is closed."""

MakeProtocol = Callable[[], asyncio.Protocol]


class Server(Protocol):
    """What both kinds of servers have in common."""

    @property
    def sockets(self) -> Sequence[socket.socket]:
        """The listening sockets."""

    def close(self) -> None:
        """Take no more connections; those taken go on."""


async def start_server(
    make_protocol: MakeProtocol, credentials: Credentials | None, listener: socket.socket
) -> Server:
    """Serve connections of a listening socket; in plain text without credentials."""
    listener.setblocking(False)
    if credentials is not None:
        return TlsServer(make_protocol, credentials, listener)
    return await asyncio.get_running_loop().create_server(make_protocol, sock=listener)


def listening_socket(host: str, port: int, backlog: int = DEFAULT_BACKLOG) -> socket.socket:
    """Return a socket that listens at ``host``; port 0: any that is free."""
    return socket.create_server((host, port), backlog=backlog)


class Connector:
    """Opens connections; with credentials over TLS, in plain text without.

    Parameters
    ----------
    role
        Role the peer's certificate must hold; None where its greeting is compared later.
    """

    def __init__(
        self, credentials: Credentials | None, role: CertificateRole | None = None
    ) -> None:
        self._credentials = credentials
        self._role = role

    async def __call__(
        self, make_protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Return transport and protocol; OSError where the peer can't be reached or proven."""
        loop = asyncio.get_running_loop()
        if self._credentials is None:
            return await loop.create_connection(make_protocol, host, port)
        context = self._credentials.client_context()
        try:
            transport, protocol = await loop.create_connection(
                make_protocol, host, port, ssl=context
            )
        except ssl.SSLError as error:
            _refuse(f"{host}:{port}", error)
            raise
        names = peer_identities(transport) or frozenset()
        if self._role is not None and not has_role(names, self._role):
            transport.abort()
            REFUSED_CONNECTIONS.labels("name").inc()
            text = f"{host}:{port} is {format_identities(names)}, not a {self._role} node"
            logger.warning("connection closed: {}", text)
            raise ConnectionAbortedError(text)
        return transport, protocol


class TlsServer:
    """Accepts connections on a listening socket; each is a protocol's once its handshake is done.

    Parameters
    ----------
    listener
        Bound and listening; closed with the server.
    """

    def __init__(
        self, make_protocol: MakeProtocol, credentials: Credentials, listener: socket.socket
    ) -> None:
        self.sockets = (listener,)
        self._make_protocol = make_protocol
        self._credentials = credentials
        self._places = asyncio.Semaphore(MAX_HANDSHAKES)
        self._handshakes: set[asyncio.Task[None]] = set()
        self._accepting = asyncio.get_running_loop().create_task(self._accept_forever(listener))
        # Not before the loop has stopped to watch it.
        self._accepting.add_done_callback(lambda _: listener.close())

    def close(self) -> None:
        """Take no more connections; those taken go on."""
        self._accepting.cancel()

    async def _accept_forever(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._places.acquire()
            try:
                accepted, address = await loop.sock_accept(listener)
            except OSError as error:
                # Out of descriptors, or the peer has left already.
                logger.warning("no connection accepted: {}", error)
                self._places.release()
                await asyncio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            task = loop.create_task(self._secure(accepted, address))
            self._handshakes.add(task)
            task.add_done_callback(self._handshakes.discard)

    async def _secure(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_protocol,
                accepted,
                ssl=self._credentials.server_context(),
                ssl_handshake_timeout=HANDSHAKE_SECONDS,
            )
        except OSError as error:
            _refuse(f"{address[0]}:{address[1]}", error)
            accepted.close()
        finally:
            self._places.release()


def _refuse(peer: str, error: Exception) -> None:
    REFUSED_CONNECTIONS.labels("handshake").inc()
    logger.warning("TLS handshake with {} failed: {}", peer, error)
