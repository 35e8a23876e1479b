"""An HTTP server with a scripted handler, and a raw connection to it."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from finchshed.common.memory_budget import MemoryBudget
from finchshed.common.outcomes import RefusalReason, Refused
from finchshed.http.message import InboundRequest, Response
from finchshed.http.server import HttpServer
from finchshed.http.spool import SpoolBudget

LIMIT = 1000
MANY_REQUESTS = 1000
"""Requests with bodies of ``LIMIT`` that exceed what is read ahead."""


@dataclass
class ScriptedHandler:
    """Answers with target and body; special targets are delayed, refused or fail."""

    pending: dict[str, Callable[[Response], None]] = field(default_factory=dict)
    cancelled: list[str] = field(default_factory=list)
    handled: list[InboundRequest] = field(default_factory=list)

    def admit(self, request: InboundRequest) -> str | Refused:
        if request.target == "/refused":
            return Refused(RefusalReason.OVERLOAD, 0.5)
        return request.target

    def max_body_bytes(self, admitted: str) -> int:
        return LIMIT

    def handle(
        self, request: InboundRequest, admitted: str, respond: Callable[[Response], None]
    ) -> Callable[[], None]:
        self.handled.append(request)
        if admitted.startswith("/held"):
            self.pending[admitted] = respond
        elif admitted == "/fault":
            raise RuntimeError("a fault of the handler")
        elif admitted == "/injected":
            respond(Response(200, (("x", "a\r\ny: b"),), b"body"))
        else:
            respond(Response(200, (), admitted.encode() + b" " + request.body))
        return lambda: self.cancelled.append(admitted)

    def refusal_response(self, refused: Refused) -> Response:
        return Response(503, (("finchshed-ran", "no"),), refused.reason.encode())

    def make_refusal(self, reason: RefusalReason, detail: str) -> Refused:
        return Refused(reason, 0.0, detail)

    def malformed_response(self, detail: str, status: int) -> Response:
        return Response(status, (), b"malformed" if status == 400 else detail.encode())


@dataclass
class ListenerClient:
    """An HTTP server on an ephemeral port, and one connection to it."""

    handler: ScriptedHandler
    server: HttpServer[str]
    spool: SpoolBudget
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def exchange(self, sent: bytes, answers: int = 1) -> list[tuple[int, bytes]]:
        """Send bytes; return the status and body of each response."""
        self.writer.write(sent)
        return [await self.read() for _ in range(answers)]

    async def read(self) -> tuple[int, bytes]:
        """Return the status and body of the next response."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.decode().lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.partition(":")[2])
        return int(head.split()[1]), await self.reader.readexactly(length)

    async def ended(self) -> bool:
        """Return whether the server closed the connection without sending more."""
        return await self.reader.read(1) == b""


@asynccontextmanager
async def listener(
    spool_bytes: int = 100_000, memory: MemoryBudget | None = None
) -> AsyncIterator[ListenerClient]:
    handler = ScriptedHandler()
    spool = SpoolBudget(spool_bytes)
    server: HttpServer[str] = HttpServer(handler, spool, memory=memory)
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server.make_protocol, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    async with asyncio.timeout(10.0):
        yield ListenerClient(handler, server, spool, reader, writer)
    writer.close()
    listening.close()
    server.close()


def request(target: str, *headers: str, body: bytes = b"", method: str = "POST") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body
