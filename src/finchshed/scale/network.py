"""Connections that can be cut in silence, for hollow daemons.

A cut stops bytes both ways and closes nothing: neither end gets a sign. When it ends, what
waited goes on, as TCP would send it again.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, cast


class Network:
    """Opens connections and cuts them by the address of the far end."""

    def __init__(self) -> None:
        self._cut_prefixes: tuple[str, ...] = ()
        self._changed = asyncio.Event()
        self._connections: set[_CuttableProtocol] = set()

    async def connect(
        self, make_protocol: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> object:
        """Open a connection; while ``host`` is cut off this waits, as for a lost SYN."""
        while self.is_cut(host):
            await self._changed.wait()
        loop = asyncio.get_running_loop()
        return await loop.create_connection(
            lambda: _CuttableProtocol(make_protocol(), host, self), host, port
        )

    def is_cut(self, host: str) -> bool:
        """Whether nothing passes from and to ``host``."""
        return host.startswith(self._cut_prefixes)

    def cut(self, prefixes: tuple[str, ...]) -> None:
        """Cut off the hosts whose addresses begin with one of ``prefixes``, and no others."""
        self._cut_prefixes = prefixes
        self._changed.set()
        self._changed = asyncio.Event()
        for connection in list(self._connections):
            connection.apply(self.is_cut(connection.host))

    def opened(self, connection: "_CuttableProtocol") -> None:
        """Note a connection, and cut it if its host was cut off meanwhile."""
        self._connections.add(connection)
        connection.apply(self.is_cut(connection.host))

    def closed(self, connection: "_CuttableProtocol") -> None:
        """Forget a connection."""
        self._connections.discard(connection)


class _CuttableProtocol(asyncio.Protocol):
    """Passes a connection's events on, and holds its bytes while it is cut."""

    def __init__(self, inner: asyncio.Protocol, host: str, network: Network) -> None:
        self.host = host
        self._inner = inner
        self._network = network
        self._transport: _CuttableTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the inner protocol a transport that can be cut (asyncio callback)."""
        self._transport = _CuttableTransport(cast(asyncio.Transport, transport))
        self._inner.connection_made(self._transport)
        self._network.opened(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on (asyncio callback)."""
        self._inner.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end on (asyncio callback)."""
        self._network.closed(self)
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the buffer is full (asyncio callback)."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the buffer drained (asyncio callback)."""
        self._inner.resume_writing()

    def apply(self, is_cut: bool) -> None:
        """Cut the connection, or let it go on."""
        if self._transport is not None:
            self._transport.set_cut(is_cut)


class _CuttableTransport(asyncio.Transport):
    """What the project's protocols use of a transport; writes wait while it is cut."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._held: list[bytes] = []
        self._is_cut = False

    def set_cut(self, is_cut: bool) -> None:
        """Stop reading and writing, or go on."""
        if is_cut == self._is_cut or self._transport.is_closing():
            return
        self._is_cut = is_cut
        # A transport that broke isn't closing until its protocol is told, and refuses both.
        with contextlib.suppress(RuntimeError):
            if is_cut:
                self._transport.pause_reading()
                return
            self._transport.resume_reading()
            held, self._held = self._held, []
            self._transport.writelines(held)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send, or hold while cut."""
        if self._is_cut:
            self._held.append(bytes(data))
        else:
            self._transport.write(data)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Pass the limits on; what a cut holds doesn't count for them."""
        self._transport.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Return the bytes not yet taken by the operating system, those held included."""
        return self._transport.get_write_buffer_size() + sum(map(len, self._held))

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return what the transport knows."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close; what is held by a cut is lost."""
        self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()
