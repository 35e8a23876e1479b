"""The HTTP listener's connections: made, watched and closed.

One look at all connections every half second takes the place of a timer for each. Owns the
connections; relies on its owner to call :meth:`HttpServer.sweep`.
"""

import asyncio
from typing import Generic, TypeVar

from finchshed.http.connection import InboundConnection
from finchshed.http.exchange import RequestHandler
from finchshed.http.limits import ConnectionLimits
from finchshed.http.spool import SpoolBudget
from finchshed.runtime import clock

LINGER_SECONDS = 2.0
"""Seconds that a caller whose request was refused early has to close the connection itself; chosen,
not measured."""

RequestT = TypeVar("RequestT")


class HttpServer(Generic[RequestT]):
    """Connections of callers and of the local back end.

    Parameters
    ----------
    handler
        Answers requests.
    spool
        Bounds the bodies held.
    limits
        Bounds of each connection.

    Attributes
    ----------
    closing
        Whether each answer is the last one on its connection.
    now
        Monotonic seconds at the last look at the connections.
    """

    def __init__(
        self,
        handler: RequestHandler[RequestT],
        spool: SpoolBudget,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.handler = handler
        self.spool = spool
        self.limits = limits or ConnectionLimits()
        self.now = clock.now()
        self.closing = False
        self._connections: set[InboundConnection[RequestT]] = set()

    @property
    def connections(self) -> int:
        """Connections open."""
        return len(self._connections)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return any(connection.is_busy for connection in self._connections)

    def make_protocol(self) -> asyncio.Protocol:
        """Return the protocol of one accepted connection."""
        return InboundConnection(self)

    def opened(self, connection: InboundConnection[RequestT]) -> None:
        """Count a connection (connection owner's part)."""
        self._connections.add(connection)

    def closed(self, connection: InboundConnection[RequestT]) -> None:
        """Forget a connection (connection owner's part)."""
        self._connections.discard(connection)

    def sweep(self) -> None:
        """Close connections that are idle or stuck."""
        self.now = clock.now()
        for connection in list(self._connections):
            self._check(connection)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close()

    def _check(self, connection: InboundConnection[RequestT]) -> None:
        unsent = connection.write_buffer_size()
        if unsent != connection.unsent_bytes:
            connection.unsent_bytes = unsent
            connection.last_active_at = self.now
        idle = self.now - connection.last_active_at
        if unsent:
            if idle > self.limits.write_seconds:
                connection.abort()
        elif connection.is_answering:
            connection.last_active_at = self.now
        elif idle > self._longest_idle(connection):
            connection.close()

    def _longest_idle(self, connection: InboundConnection[RequestT]) -> float:
        if connection.is_lingering:
            return LINGER_SECONDS
        limits = self.limits
        return limits.read_seconds if connection.is_busy else limits.idle_seconds
