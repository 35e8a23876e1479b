"""A process that passes bytes on to one address, and looks at none of them.

Two of these between a caller and a back end show what the two extra processes of the call path cost
in wake-ups and system calls alone, whatever is done with a call in them. Run as a process of its
own: ``python -m finchshed.bench.byte_relay PORT ADDRESS``.
"""

import asyncio
import sys
from typing import cast

import uvloop


class _Onward(asyncio.Protocol):
    """The connection to the address; what comes back goes to the one that was accepted."""

    def __init__(self, accepted: "_Accepted") -> None:
        self._accepted = accepted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what has waited (asyncio callback)."""
        self._accepted.onward = cast(asyncio.Transport, transport)
        for data in self._accepted.waiting:
            self._accepted.onward.write(data)
        self._accepted.waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Pass bytes back (asyncio callback)."""
        if self._accepted.transport is not None:
            self._accepted.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the accepted connection too (asyncio callback)."""
        if self._accepted.transport is not None:
            self._accepted.transport.close()


class _Accepted(asyncio.Protocol):
    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._connecting: asyncio.Task[object] | None = None
        self.transport: asyncio.Transport | None = None
        self.onward: asyncio.Transport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the connection onward (asyncio callback)."""
        self.transport = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(lambda: _Onward(self), *self._address)
        self._connecting = loop.create_task(connecting)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on (asyncio callback)."""
        if self.onward is None:
            self.waiting.append(data)
        else:
            self.onward.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection onward too (asyncio callback)."""
        self.transport = None
        if self.onward is not None:
            self.onward.close()


async def serve(port: int, address: str) -> None:
    """Pass bytes on until the process is ended."""
    host, _, onward_port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Accepted(host, int(onward_port)), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), sys.argv[2]))
