"""An in-memory asyncio transport for protocol tests."""

import asyncio
from typing import Any


class MemoryTransport(asyncio.Transport):
    """Records written data; closing takes effect immediately."""

    def __init__(self, address: tuple[str, int] = ("127.0.0.1", 40_000)) -> None:
        super().__init__()
        self._address = address
        self._protocol: asyncio.Protocol | None = None
        self.written = b""
        self.closed = False

    def connect(self, protocol: asyncio.Protocol) -> None:
        self._protocol = protocol
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._address if name == "peername" else default

    def is_closing(self) -> bool:
        return self.closed

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: written data is never buffered."""

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def finish(self) -> None:
        """Report the closed connection to the protocol, as the event loop does after a close."""
        self.closed = True
        assert self._protocol is not None
        self._protocol.connection_lost(None)
