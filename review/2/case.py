"""A daemon is killed while it sends a large answer to clients that are slow to read.

The back end's answers have no length and end with their connection.
"""

import asyncio
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from deployment import (  # noqa: E402
    HOST,
    OUTBOUND_PORT,
    Backend,
    Deployment,
    HttpMessage,
    NotRunError,
    configuration,
    encode,
    has_trouble,
    route,
    run_case,
    wait_until,
)

SERVICES = ("tile-server", "enc-store")
LINE = b"chart edition, line %08d"
BODY = b"\n".join(LINE % number for number in range(200_000))
"""Body of 6 MB; the socket buffers of a loopback connection take about 4 MB."""

CLIENTS = 2
READ_BYTES = 65_536
READ_PAUSE_SECONDS = 0.02
"""Pause of a client between two reads; it takes 3.3 MB a second at most."""

RECEIVE_BUFFER_BYTES = 65_536
ORDERLY_END = "an orderly end"
KILL_AFTER_SECONDS = 0.1
"""Time of the kill after the first bytes of the last answer."""

BEGIN_SECONDS = 5.0
DEADLINE_MS = 6_000


class UnframedBackend(Backend):
    """Back end whose answers to downloads have no length."""

    sent: set[str]

    async def answer(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        """Answer a request, then end the connection."""
        identity = request.headers.get("request-id", "")
        if not request.path.startswith("/editions/"):
            await super().answer(request, writer)
            return
        self.record.write(f"run {identity} at {self.instance}, {len(BODY)} bytes")
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {identity}\r\n"
            f"Server-Seal: {self.instance}.{identity}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + BODY)
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        self.record.write(f"{identity} is sent whole, its connection ended in order")
        self.__dict__.setdefault("sent", set()).add(identity)


@dataclass
class Download:
    """What a client received."""

    identity: str
    is_sealed_success: bool
    has_length: bool
    is_orderly: bool
    body: bytes

    @property
    def is_whole(self) -> bool:
        """Whether it is a success with the whole body."""
        return self.is_sealed_success and self.body == BODY

    def looks_complete_though_cut(self) -> bool:
        """Return whether HTTP/1.1 counts it as a complete answer although a part is missing."""
        is_complete = self.is_sealed_success and self.is_orderly and not self.has_length
        return is_complete and len(self.body) < len(BODY) and BODY.startswith(self.body)


async def download(deployment: Deployment, identity: str, begun: set[str]) -> Download:
    """Read an answer slowly to its end."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (deployment.daemons[0].ip, OUTBOUND_PORT))
    headers = {"Host": HOST, "Request-Id": identity, "Deadline-Ms": str(DEADLINE_MS)}
    await loop.sock_sendall(connection, encode(f"GET /editions/{identity} HTTP/1.1", headers))
    received = b""
    end = ORDERLY_END
    try:
        while data := await loop.sock_recv(connection, READ_BYTES):
            if not received:
                deployment.record.write(f"{identity} begins to arrive")
                begun.add(identity)
            received += data
            await asyncio.sleep(READ_PAUSE_SECONDS)
    except OSError as error:
        end = f"a break ({error.strerror})"
    finally:
        connection.close()
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").lower().split("\r\n")
    deployment.record.write(f"answer {identity}: {lines}, {len(body)} bytes, {end}")
    return Download(
        identity,
        lines[0].startswith("http/1.1 200")
        and any(line.startswith("server-seal:") for line in lines),
        any(line.startswith(("content-length:", "transfer-encoding:")) for line in lines),
        end == ORDERLY_END,
        body,
    )


async def play(deployment: Deployment) -> list[str]:
    """Return the breaks of the rule."""
    await deployment.put_until_acknowledged(
        configuration(
            1,
            0,
            SERVICES,
            route("/editions/", "enc-store", "download"),
            route("/index/", "enc-store"),
        )
    )
    await deployment.wait_until_served("/index/1")
    begun: set[str] = set()
    downloads = [
        asyncio.create_task(download(deployment, f"{number:016x}", begun))
        for number in range(CLIENTS)
    ]

    async def have_begun() -> bool:
        sent = getattr(deployment.backends[1], "sent", ())
        return len(begun) == CLIENTS and len(sent) == CLIENTS

    await wait_until(have_begun, BEGIN_SECONDS)
    await asyncio.sleep(KILL_AFTER_SECONDS)
    daemon = deployment.daemons[0]
    if daemon.exit_code is not None:
        raise NotRunError("the daemon ended before the kill")
    if has_trouble():
        daemon.end()
    results = await asyncio.gather(*downloads)
    if not has_trouble() and not all(result.is_whole for result in results):
        raise NotRunError("without the kill, an answer was not whole")
    return [
        f"{result.identity}: 200 with the seal and without a length, {len(result.body)} of "
        f"{len(BODY)} bytes, and an orderly end"
        for result in results
        if result.looks_complete_though_cut()
    ]


if __name__ == "__main__":
    sys.exit(run_case(CASE, SERVICES, play, backend_type=UnframedBackend))
