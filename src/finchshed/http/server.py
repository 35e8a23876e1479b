"""Tracks HTTP connections and closes idle or stuck ones.

A periodic sweep over all connections replaces a timer per connection. Owns the connections; its
owner must call :meth:`HttpServer.sweep` regularly.
"""

import asyncio
from dataclasses import dataclass
from typing import Generic, TypeVar

from finchshed.common.memory_budget import MemoryBudget
from finchshed.common.outcomes import Refused
from finchshed.http.connection import InboundConnection
from finchshed.http.exchange import RequestHandler
from finchshed.http.limits import ConnectionLimits
from finchshed.http.spool import SpoolBudget
from finchshed.observability.instruments import Counter
from finchshed.runtime import clock

CONNECTIONS_CLOSED = Counter(
    "finchshed_connections_closed_for_others_total",
    "Connections of callers closed to make room for new ones, at their bound",
)

MIN_SENT_BYTES = 16_384
"""Bytes of an unsent answer that its client must read for that to count as progress."""

LINGER_SECONDS = 2.0
"""Time a client has to close the connection after an early refusal."""

RequestT = TypeVar("RequestT")


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Numbers of open connections, each counted once, by what they wait for.

    Attributes
    ----------
    answering
        A whole request waits for its answer.
    sending
        A part of an answer is unsent.
    reading
        A request was received in part.
    idle
        None of these.
    """

    answering: int = 0
    sending: int = 0
    reading: int = 0
    idle: int = 0


class HttpServer(Generic[RequestT]):
    """Accepts connections and holds the state they share.

    Parameters
    ----------
    handler
        Admits and answers requests.
    spool
        Limits the total size of buffered bodies.
    limits
        Limits of each connection.
    memory
        Budget of unsent responses; None for no bound.

    Attributes
    ----------
    closing
        Whether connections close after their next response.
    now
        Time of the last sweep, in seconds on the boot-time clock.
    closed_for_others
        Number of connections closed to make room for new ones.
    """

    def __init__(
        self,
        handler: RequestHandler[RequestT],
        spool: SpoolBudget,
        limits: ConnectionLimits | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.handler = handler
        self.spool = spool
        self.limits = limits or ConnectionLimits()
        self.memory = memory
        self.now = clock.now()
        self.closing = False
        self.closed_for_others = 0
        self._connections: set[InboundConnection[RequestT]] = set()
        # Connections without a whole request, in the order in which they began to wait for one.
        self._waiting: dict[InboundConnection[RequestT], None] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def is_sending(self) -> bool:
        """Whether a part of any answer is unsent."""
        return any(connection.write_buffer_size() > 0 for connection in self._connections)

    @property
    def is_busy(self) -> bool:
        """Whether any connection is reading or answering a request."""
        return any(connection.is_busy for connection in self._connections)

    def counts(self) -> ConnectionCounts:
        """Return how many connections wait for what."""
        answering = sum(connection.is_answering for connection in self._connections)
        busy = [one for one in self._connections if one.is_busy and not one.is_answering]
        sending = sum(connection.write_buffer_size() > 0 for connection in busy)
        idle = len(self._connections) - answering - len(busy)
        return ConnectionCounts(answering, sending, len(busy) - sending, idle)

    def make_protocol(self) -> asyncio.BaseProtocol:
        """Create the protocol of an accepted connection."""
        return InboundConnection(self)

    def opened(self, connection: InboundConnection[RequestT]) -> None:
        """Register a connection; see :class:`~finchshed.http.exchange.ConnectionOwner`.

        At the bound the one that has waited longest for a request makes room. A request that was
        read is never cut for a new connection.
        """
        self._connections.add(connection)
        self._waiting[connection] = None
        if len(self._connections) > self.limits.max_connections:
            self._make_room()

    def closed(self, connection: InboundConnection[RequestT]) -> None:
        """Unregister a connection; see :class:`~finchshed.http.exchange.ConnectionOwner`."""
        self._connections.discard(connection)
        self._waiting.pop(connection, None)

    def request_read(self, connection: InboundConnection[RequestT]) -> None:
        """Note a request; see :class:`~finchshed.http.exchange.ConnectionOwner`."""
        self._waiting.pop(connection, None)

    def request_answered(self, connection: InboundConnection[RequestT]) -> None:
        """Note an answer; see :class:`~finchshed.http.exchange.ConnectionOwner`."""
        self._waiting[connection] = None

    def sweep(self) -> None:
        """Close idle and stuck connections."""
        self.now = clock.now()
        for connection in list(self._connections):
            self._check(connection)

    def refuse_waiting(self, refused: Refused) -> None:
        """Refuse every request that is with the handler; none of them may have run."""
        for connection in list(self._connections):
            connection.refuse(refused)

    def close(self) -> None:
        """Close every connection after sending its queued data."""
        for connection in list(self._connections):
            connection.close()

    def _make_room(self) -> None:
        CONNECTIONS_CLOSED.inc()
        self.closed_for_others += 1
        longest_waiting = next(iter(self._waiting))
        self.closed(longest_waiting)
        longest_waiting.abort()

    def _check(self, connection: InboundConnection[RequestT]) -> None:
        unsent = connection.write_buffer_size()
        if _is_progress(connection.unsent_bytes, unsent):
            connection.unsent_bytes = unsent
            connection.progress_at = self.now
            connection.last_active_at = self.now
        idle_seconds = self.now - connection.last_active_at
        if unsent:
            if self.now - connection.progress_at > self.limits.write_seconds:
                connection.abort()
        elif connection.is_answering:
            connection.last_active_at = self.now
        elif idle_seconds > self._idle_limit(connection):
            connection.close()

    def _idle_limit(self, connection: InboundConnection[RequestT]) -> float:
        if connection.is_lingering:
            return LINGER_SECONDS
        limits = self.limits
        return limits.read_seconds if connection.is_busy else limits.idle_seconds


def _is_progress(before: int, unsent: int) -> bool:
    """Return whether a client has read enough of its answer, or has a new one to read."""
    return unsent > before or before - unsent >= min(before, MIN_SENT_BYTES) > 0
