"""Fake back end that writes raw HTTP responses provided by a test."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.daemon.processes import free_address

HEALTH_PATH = "/health"

Handler = Callable[["Received", asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Received:
    """A received request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass
class ScriptedBackend:
    """Records requests, which ``handler`` answers, and counts health checks.

    Its port stays reserved after ``stop``, so that no other back end answers there.
    """

    handler: Handler
    health: Handler
    received: list[Received] = field(default_factory=list)
    health_checks: int = 0
    closed_early: int = 0
    connections: int = 0
    address: str = field(default_factory=free_address)
    _listener: socket.socket | None = None
    _is_stopped: bool = False
    _serving: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def __aenter__(self) -> "ScriptedBackend":
        host, port = self.address.split(":")
        self._listener = socket.create_server((host, int(port)), reuse_port=True)
        self._listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self._listener, self._accept, self._listener)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def stop(self) -> None:
        """Stop listening and abort every connection, also one that is just being accepted."""
        self._is_stopped = True
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            writer.transport.abort()

    def paths(self) -> list[str]:
        """Return the requested paths, in order."""
        return [received.path for received in self.received]

    def _accept(self, listener: socket.socket) -> None:
        """Accept a connection at once: ``asyncio.Server`` loses those it accepts as it closes."""
        try:
            connection, _ = listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        serving = asyncio.ensure_future(self._open(connection))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    async def _open(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        if self._is_stopped:
            writer.transport.abort()
        else:
            await self._serve(reader, writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            while (received := await _read_request(reader)) is not None:
                if received.path == HEALTH_PATH:
                    self.health_checks += 1
                    handler = self.health
                else:
                    self.received.append(received)
                    handler = self.handler
                answering = asyncio.ensure_future(handler(received, writer))
                watching = asyncio.ensure_future(_closed(reader))
                await asyncio.wait({answering, watching}, return_when=asyncio.FIRST_COMPLETED)
                watching.cancel()
                await asyncio.wait({watching})
                if not answering.done():
                    self.closed_early += 1
                    answering.cancel()
                    return
                await answering
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _closed(reader: asyncio.StreamReader) -> None:
    """Return when the client closes the connection; it must not send anything else."""
    assert await reader.read(1) == b""


async def _read_request(reader: asyncio.StreamReader) -> Received | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(method, path, headers, body)


def answer(body: bytes, status: int = 200, **headers: str) -> bytes:
    """Return an encoded HTTP response; underscores in header names become hyphens."""
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def echo(received: Received, writer: asyncio.StreamWriter) -> None:
    """Answer with the method, path and body of the request."""
    writer.write(answer(f"{received.method} {received.path} ".encode() + received.body))


async def healthy(_: Received, writer: asyncio.StreamWriter) -> None:
    """Answer a health check successfully."""
    writer.write(answer(b"well"))
