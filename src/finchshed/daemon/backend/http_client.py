"""HTTP client of the back end: a pool of connections without pipelining."""

import asyncio
import sys
from collections.abc import Callable

from loguru import logger

from finchshed.common.memory_budget import MemoryBudget
from finchshed.common.outcomes import Headers
from finchshed.daemon.backend.answer_reader import AnswerReader
from finchshed.daemon.backend.client import (
    BackendRequest,
    BackendResult,
    BackendTimedOut,
    BackendUnreached,
)
from finchshed.daemon.backend.connection import BackendConnection, ConnectionState
from finchshed.daemon.header_names import HeaderNames
from finchshed.runtime import clock

MAX_IDLE_SECONDS = 15.0
"""Connections idle for longer are not reused, because the back end may be closing them."""

MAX_IDLE_SECONDS_UNREPEATABLE = 1.0
"""The same for non-repeatable requests, whose outcome would be unknown after such a race."""

KEEP_ALIVE_FRACTION = 0.7
"""Fraction of the back end's announced idle timeout during which a connection is reused."""

CLOSE_CHECKS = 3
"""How often the pool is checked after a connection broke, before opening a new one to test whether
the back end crashed. Connections still open after the last check show that it didn't."""

CLOSE_CHECK_INTERVAL_SECONDS = 0.005
"""Interval between those checks."""

METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class HttpBackend:
    """Sends requests to the back end at ``address``.

    Parameters
    ----------
    address
        ``a.b.c.d:port`` of the back end.
    max_connections
        Pool size; a request that needs a further connection fails as not sent.
    connect_timeout_seconds
        Timeout for opening a connection.
    names
        Header names used by the back end.
    memory
        Budget of the bodies of answers being received; None for no bound.
    max_answer_bytes
        Maximum size of an answer's body, whatever its request allows.

    Attributes
    ----------
    loop
        Cached event loop; see :class:`finchshed.daemon.calling.daemon_links.DaemonLinks`.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        connect_timeout_seconds: float,
        names: HeaderNames | None = None,
        *,
        memory: MemoryBudget | None = None,
        max_answer_bytes: int = sys.maxsize,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self._address = address
        self._reader = AnswerReader(names or HeaderNames())
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._max_connections = max_connections
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._memory = memory or MemoryBudget(sys.maxsize)
        self._max_answer_bytes = max_answer_bytes
        self._connecting = 0
        self._opened = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> int:
        """Number of connections open or being opened."""
        return len(self._open) + self._connecting

    def send(
        self, request: BackendRequest, on_result: Callable[[BackendResult], None]
    ) -> Callable[[], object]:
        """Send a request; return a function that cancels it.

        ``on_result`` is called at most once, never before this method returns.
        """
        exchange = BackendExchange(self, request, on_result)
        connection = self._take_idle(request)
        if connection is not None:
            exchange.send_on(connection)
        elif not self._has_room():
            exchange.fail_later(BackendUnreached("no connection is free"))
        else:
            self._connecting += 1
            task = self.loop.create_task(self._connect(exchange))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return exchange.cancel

    def encode(self, request: BackendRequest) -> bytes | None:
        """Return the encoded request, or None if a field contains a line break or NUL."""
        return encode_request(request, self._address)

    async def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.abort()

    def _take_idle(self, request: BackendRequest) -> BackendConnection | None:
        """Return the idle connection used last that may carry ``request``."""
        now = clock.now()
        for place in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[place]
            if now - connection.idle_since > _max_idle_seconds(connection, request):
                # Those used before it are too old as well.
                if request.is_repeatable:
                    self._close_idle(place + 1)
                return None
            if connection.can_carry(request):
                return self._idle.pop(place)
        return None

    def _has_room(self) -> bool:
        """Return whether a connection may be opened, closing one that this request can't use."""
        if self.connections >= self._max_connections:
            self._close_idle(1)
        return self.connections < self._max_connections

    def _close_idle(self, count: int) -> None:
        """Close the ``count`` connections that have been idle for longest, or all."""
        for connection in self._idle[:count]:
            connection.abort()

    async def refuses_connections(self) -> bool:
        """Return whether the back end refuses a new connection; False while any is open.

        All connections of a crashed process break, but the event loop may report some of them
        slightly later.
        """
        for _ in range(CLOSE_CHECKS):
            if not self._open:
                break
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_SECONDS)
        if self._open or self._connecting >= self._max_connections:
            return False
        self._connecting += 1
        try:
            self._on_idle(await self._open_connection())
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            logger.info("can't tell whether the back end crashed; connecting failed: {!r}", error)
        return False

    async def _connect(self, exchange: "BackendExchange") -> None:
        try:
            connection = await self._open_connection()
        except (OSError, TimeoutError) as error:
            exchange.finish(BackendUnreached(f"connect: {error or 'timed out'}", is_refused=True))
            return
        if exchange.is_over:
            self._on_idle(connection)
        else:
            exchange.send_on(connection)

    async def _open_connection(self) -> BackendConnection:
        """Open a connection; the caller must have incremented ``_connecting``."""
        try:
            async with asyncio.timeout(self._connect_timeout_seconds):
                _, connection = await self.loop.create_connection(
                    self._make_connection, self._host, self._port
                )
        finally:
            self._connecting -= 1
        self._open.add(connection)
        return connection

    def _make_connection(self) -> BackendConnection:
        self._opened += 1
        return BackendConnection(
            self._opened,
            self._reader,
            self._on_idle,
            self._on_closed,
            memory=self._memory,
            max_answer_bytes=self._max_answer_bytes,
        )

    def _on_idle(self, connection: BackendConnection) -> None:
        connection.idle_since = clock.now()
        self._idle.append(connection)

    def _on_closed(self, connection: BackendConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


def _max_idle_seconds(connection: BackendConnection, request: BackendRequest) -> float:
    allowed = MAX_IDLE_SECONDS if request.is_repeatable else MAX_IDLE_SECONDS_UNREPEATABLE
    if connection.keep_alive_seconds is None:
        return allowed
    return min(allowed, connection.keep_alive_seconds * KEEP_ALIVE_FRACTION)


class BackendExchange:
    """One request in progress, with its timeout and its result callback."""

    def __init__(
        self,
        backend: HttpBackend,
        request: BackendRequest,
        on_result: Callable[[BackendResult], None],
    ) -> None:
        self.is_over = False
        self._backend = backend
        self._request = request
        self._on_result = on_result
        self._connection: BackendConnection | None = None
        self._timer = backend.loop.call_later(max(0.0, request.timeout_seconds), self._on_timeout)

    def send_on(self, connection: BackendConnection) -> None:
        """Send the request on an idle connection."""
        message = self._backend.encode(self._request)
        if message is None or connection.state is not ConnectionState.IDLE:
            connection.abort()
            detail = "malformed header" if message is None else "connection closed before the send"
            self.fail_later(BackendUnreached(detail))
            return
        self._connection = connection
        connection.send(message, self._request, self.finish)

    def fail_later(self, result: BackendResult) -> None:
        """Report ``result`` in the next iteration of the event loop."""
        self._backend.loop.call_soon(self.finish, result)

    def cancel(self) -> None:
        """Cancel the request: close its connection and report no result."""
        if not self._mark_over():
            return
        if self._connection is not None:
            self._connection.abort()

    def finish(self, result: BackendResult) -> None:
        """Report the result, unless the request is over."""
        if self._mark_over():
            self._on_result(result)

    def _on_timeout(self) -> None:
        connection = self._connection
        if connection is None:
            self.finish(BackendUnreached("no time left to send"))
            return
        self.finish(BackendTimedOut())
        connection.abort()

    def _mark_over(self) -> bool:
        if self.is_over:
            return False
        self.is_over = True
        self._timer.cancel()
        return True


def encode_request(request: BackendRequest, host: str) -> bytes | None:
    """Return the encoded request, or None if a field contains a line break or NUL."""
    headers: Headers = request.headers
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    if not headers or headers[0][0] != "host":
        lines.append(f"host: {host}")
    lines += [f"{name}: {value}" for name, value in headers]
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(f"content-length: {len(request.body)}")
    lines.append("\r\n")
    head = "\r\n".join(lines)
    breaks = len(lines)
    if head.count("\n") != breaks or head.count("\r") != breaks or "\0" in head:
        return None
    return head.encode("latin-1") + request.body
