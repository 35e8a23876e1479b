"""Crowds of clients that send legal bytes in shapes that cost much, or nothing at all."""

import asyncio
import contextlib
import os
import resource
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

MAX_HEAD_BYTES = 16_384
"""The pages' limit of a head, as in the documents of the tests."""

SHORT_LINE = b"a:\r\n"
ROOM_FOR_END = 64
"""Bytes of a head that are left free for its end."""

PIECE_BYTES = 65_536
SETTLE_SECONDS = 0.5
SO_RCVBUF_BYTES = 4_096


@dataclass(frozen=True)
class Crowd:
    """Clients that connect, send the same bytes each and then wait.

    Attributes
    ----------
    clients
        Number of connections.
    first, repeated
        Bytes that each sends first, and those that follow over and over.
    size
        Bytes that each sends in sum.
    leaves
        Whether each leaves as soon as it has sent that.
    """

    clients: int
    first: bytes
    repeated: bytes = b""
    size: int = 0
    leaves: bool = False

    def message(self) -> bytes:
        """Return what one client sends."""
        times = (self.size - len(self.first)) // len(self.repeated) if self.repeated else 0
        return self.first + self.repeated * max(0, times)


def head(method: str, path: str, *lines: str) -> bytes:
    """Return a head without its end."""
    named = ("Host: sales.example", "Request-Id: 00000000c70f0001", "Deadline-Ms: 6000", *lines)
    return "\r\n".join((f"{method} {path} HTTP/1.1", *named, "")).encode()


def head_of_short_lines(method: str, path: str, size: int = MAX_HEAD_BYTES) -> bytes:
    """Return a whole head of ``size`` bytes, most of which are lines of four."""
    begin = head(method, path)
    lines = SHORT_LINE * ((size - len(begin) - 2) // len(SHORT_LINE))
    return begin + lines + b"\r\n"


@asynccontextmanager
async def present(crowd: Crowd, ip: str, port: int) -> AsyncIterator[None]:
    """Let a crowd send all that it can, and stay until the end of the block."""
    message = crowd.message()
    writers = await asyncio.gather(*(_send(message, ip, port) for _ in range(crowd.clients)))
    if crowd.leaves:
        _leave(writers)
    await asyncio.sleep(SETTLE_SECONDS)
    try:
        yield
    finally:
        _leave(writers)


async def _send(message: bytes, ip: str, port: int) -> asyncio.StreamWriter | None:
    """Send ``message`` until it is sent or nothing more is taken; return the open connection."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SO_RCVBUF_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SETTLE_SECONDS * 4):
            await loop.sock_connect(connection, (ip, port))
            _, writer = await asyncio.open_connection(sock=connection, limit=SO_RCVBUF_BYTES)
            for at in range(0, len(message), PIECE_BYTES):
                writer.write(message[at : at + PIECE_BYTES])
                await writer.drain()
            return writer
    connection.close()
    return None


def _leave(writers: list[asyncio.StreamWriter | None]) -> None:
    for writer in writers:
        if writer is not None:
            writer.transport.abort()


def limit_descriptors(process: int, descriptors: int) -> None:
    """Let a process have no more open descriptors than this."""
    resource.prlimit(process, resource.RLIMIT_NOFILE, (descriptors, descriptors))


def open_descriptors(process: int) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{process}/fd"))
