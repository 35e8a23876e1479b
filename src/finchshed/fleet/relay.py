"""TCP relay in front of a program's listener that injects link faults.

The program listens on a private address and the relay on the public address. The relay is
independent of the protocol and identifies a client by the process that holds the other end of the
connection.

Impairments of one direction of a connection:

- delay: bytes arrive later, in order;
- cut: bytes are withheld without closing the connection, so neither end notices. New connections
  are accepted but stay idle. Withheld bytes are forwarded when the cut ends;
- bandwidth limit: bytes are forwarded at a limited rate.

In addition, connections can be reset.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

from finchshed.fleet.link_conditions import LinkRules, Peer, matches_peer

CHUNK_BYTES = 65_536
"""Maximum size of one read."""

RESET_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close sends a reset."""


class Relay:
    """Listens on public addresses and forwards connections to private addresses.

    Parameters
    ----------
    identify
        Returns the peer whose socket has these local and remote addresses, ``a.b.c.d:port``.
    """

    def __init__(self, rules: LinkRules, identify: Callable[[str, str], Peer]) -> None:
        self._rules = rules
        self._identify = identify
        self._servers: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, public: str, private: str, owner: Peer) -> None:
        """Relay connections from ``public`` to ``private``, where ``owner`` listens."""
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
        """Reset all connections between peers with these names or zones; return their number."""
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
            await self._rules.wait_until_open(connection.client, connection.owner)
            if await connection.open(private):
                await connection.copy(self._rules)
        finally:
            self._connections.discard(connection)
            connection.reset()


class _Connection:
    """A relayed connection between a client and the owner of the private address."""

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
        """Whether the connection joins peers with these names or zones, in either order."""
        forward = matches_peer(source, self.client) and matches_peer(target, self.owner)
        backward = matches_peer(target, self.client) and matches_peer(source, self.owner)
        return forward or backward

    async def open(self, private: str) -> bool:
        """Connect to the private address; return whether the program listens there."""
        host, _, port = private.rpartition(":")
        try:
            self._owner_reader, self._owner_writer = await asyncio.open_connection(
                host, int(port), limit=CHUNK_BYTES
            )
        except OSError:
            return False
        return True

    async def copy(self, rules: LinkRules) -> None:
        """Copy both directions until both have ended or one has failed."""
        assert self._owner_reader is not None
        assert self._owner_writer is not None
        forward = _Direction(
            rules, self.client, self.owner, self._client_reader, self._owner_writer
        )
        backward = _Direction(
            rules, self.owner, self.client, self._owner_reader, self._client_writer
        )
        await asyncio.gather(forward.run(), backward.run())

    def reset(self) -> None:
        """Reset both ends of the connection that are still open."""
        for writer in (self._client_writer, self._owner_writer):
            if writer is None or writer.transport.is_closing():
                continue
            with contextlib.suppress(OSError, AttributeError):
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()


class _Direction:
    """Copies one direction of a connection."""

    def __init__(
        self,
        rules: LinkRules,
        source: Peer,
        target: Peer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._rules = rules
        self._source = source
        self._target = target
        self._reader = reader
        self._writer = writer
        # Bounded, so that a slow or cut direction applies backpressure to its sender.
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=64)

    async def run(self) -> None:
        """Copy until the source closes its side."""
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
            condition = await self._rules.wait_until_open(self._source, self._target)
            pause = received + condition.delay_seconds - loop.time()
            if condition.bytes_per_second:
                pause = max(pause, len(data) / condition.bytes_per_second)
            if pause > 0.0:
                await asyncio.sleep(pause)
                await self._rules.wait_until_open(self._source, self._target)
            if not data:
                self._write_eof()
                return
            try:
                self._writer.write(data)
                await self._writer.drain()
            except OSError:
                return

    def _write_eof(self) -> None:
        if self._writer.can_write_eof() and not self._writer.transport.is_closing():
            with contextlib.suppress(OSError):
                self._writer.write_eof()
