"""A TCP relay in front of a program's listener, so that links can be made to fail.

It copies bytes and knows no protocol. A program listens on a private address, the relay on the
public one that others are told. Who connects is found by the process that holds the other end of
the connection, so no program has to name itself.

What is done to a direction of a connection:

- ``delay``: bytes arrive so much later, in order;
- ``cut``: bytes are read from neither side and nothing is closed: no sign that the link is gone.
  New connections are accepted by the operating system and stay silent. When the cut ends, what
  waited goes on;
- ``rate``: so many bytes a second.

Closing both ends with a reset is an act of its own.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

from finchshed.fleet.link_conditions import Conditions, Peer, is_named

CHUNK_BYTES = 65_536
"""Most that is read at once; chosen, not measured."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""With this SO_LINGER a close sends a reset."""


class Relay:
    """Listens on public addresses and copies to the private ones behind.

    Parameters
    ----------
    identify
        Returns the peer whose socket has these local and remote addresses, ``a.b.c.d:port``.
    """

    def __init__(self, conditions: Conditions, identify: Callable[[str, str], Peer]) -> None:
        self._conditions = conditions
        self._identify = identify
        self._servers: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, public: str, private: str, owner: Peer) -> None:
        """Relay connections to ``public`` on to ``private``, where ``owner`` listens."""
        host, _, port = public.rpartition(":")

        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            remote = writer.get_extra_info("peername")
            own = writer.get_extra_info("sockname")
            client = self._identify(f"{remote[0]}:{remote[1]}", f"{own[0]}:{own[1]}")
            connection = _Connection(client, owner, reader, writer)
            await self._serve(connection, private)

        server = await asyncio.start_server(accepted, host, int(port), limit=CHUNK_BYTES)
        self._servers.append(server)

    def reset(self, source: str, target: str) -> int:
        """Reset all connections between peers of these names or zones; return how many."""
        found = [item for item in self._connections if item.is_between(source, target)]
        for connection in found:
            connection.reset()
        return len(found)

    async def close(self) -> None:
        """Stop listening and end every connection."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, connection: "_Connection", private: str) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._connections.add(connection)
        try:
            await self._conditions.until_open(connection.client, connection.owner)
            if await connection.open(private):
                await connection.copy(self._conditions)
        finally:
            self._connections.discard(connection)
            connection.reset()


class _Connection:
    """One connection through the relay."""

    def __init__(
        self,
        client: Peer,
        owner: Peer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.client = client
        self.owner = owner
        self._client_reader = reader
        self._client_writer = writer
        self._owner_reader: asyncio.StreamReader | None = None
        self._owner_writer: asyncio.StreamWriter | None = None

    def is_between(self, source: str, target: str) -> bool:
        """Whether the connection joins peers of these names or zones, either way."""
        forth = is_named(source, self.client) and is_named(target, self.owner)
        back = is_named(target, self.client) and is_named(source, self.owner)
        return forth or back

    async def open(self, private: str) -> bool:
        """Connect to the program behind; return whether it listens."""
        host, _, port = private.rpartition(":")
        try:
            self._owner_reader, self._owner_writer = await asyncio.open_connection(
                host, int(port), limit=CHUNK_BYTES
            )
        except OSError:
            return False
        return True

    async def copy(self, conditions: Conditions) -> None:
        """Copy both directions until both have ended, or one has broken."""
        assert self._owner_reader is not None
        assert self._owner_writer is not None
        forth = _Direction(
            conditions, self.client, self.owner, self._client_reader, self._owner_writer
        )
        back = _Direction(
            conditions, self.owner, self.client, self._owner_reader, self._client_writer
        )
        await asyncio.gather(forth.run(), back.run())

    def reset(self) -> None:
        """Close both ends; who still sends gets a reset."""
        for writer in (self._client_writer, self._owner_writer):
            if writer is None or writer.transport.is_closing():
                continue
            with contextlib.suppress(OSError, AttributeError):
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()


class _Direction:
    """Bytes that go one way through a connection."""

    def __init__(
        self,
        conditions: Conditions,
        source: Peer,
        target: Peer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._conditions = conditions
        self._source = source
        self._target = target
        self._reader = reader
        self._writer = writer
        # Bounded, so that a slow or cut direction pushes back on its sender.
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=64)

    async def run(self) -> None:
        """Copy until the source has ended."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read())
            group.create_task(self._write())

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self._reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            await self._queue.put((loop.time(), data))
            if not data:
                return

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            received, data = await self._queue.get()
            condition = await self._conditions.until_open(self._source, self._target)
            pause = received + condition.delay_seconds - loop.time()
            if condition.bytes_per_second:
                pause = max(pause, len(data) / condition.bytes_per_second)
            if pause > 0.0:
                await asyncio.sleep(pause)
                await self._conditions.until_open(self._source, self._target)
            if not data:
                self._end()
                return
            try:
                self._writer.write(data)
                await self._writer.drain()
            except OSError:
                return

    def _end(self) -> None:
        if self._writer.can_write_eof() and not self._writer.transport.is_closing():
            with contextlib.suppress(OSError):
                self._writer.write_eof()
