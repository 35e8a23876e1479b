"""Downloads without a length in the soak, by clients that read slowly, and their check."""

import asyncio
import random
import socket
import time

from aiohttp import web

from tests.platform.fake_backend import OUTBOUND_PORT, FakeBackend, Handler
from tests.platform.soak_state import Download, Soak

FILE_PREFIX = "/file/"
BODY = b"\n".join(b"edition, line %08d" % number for number in range(280_000))
"""Body of 6.4 MB, more than the socket buffers of a loopback connection take."""

READ_BYTES = 65_536
READ_PAUSE_SECONDS = 0.02
RECEIVE_BUFFER_BYTES = 65_536
DEADLINE_MS = 6_000
SECONDS_BETWEEN = (0.5, 1.5)
IDENTITY_PREFIX = "f"


def with_downloads(handler: Handler) -> Handler:
    """Return a handler that answers requests for files without a length, others by ``handler``."""

    async def answer(backend: FakeBackend, request: web.Request) -> web.Response:
        if not request.path.startswith(FILE_PREFIX):
            return await handler(backend, request)
        transport = request.transport
        if transport is not None:
            head = (
                "HTTP/1.1 200 OK\r\n"
                f"Request-Id: {request.headers.get('Request-Id', '')}\r\n"
                f"Server-Seal: seal-{backend.instance}\r\n"
                "Connection: close\r\n\r\n"
            )
            transport.write(head.encode() + BODY)
            transport.close()
        return web.Response()

    return answer


async def download_files(soak: Soak, end: float, rng: random.Random) -> None:
    """Download a file again and again through random daemons until ``end``."""
    number = 0
    while time.monotonic() < end:
        number += 1
        daemon = rng.randrange(len(soak.running.daemons))
        soak.downloads.append(await _download(soak, daemon, f"{IDENTITY_PREFIX}{number:015x}"))
        await asyncio.sleep(rng.uniform(*SECONDS_BETWEEN))


def download_violations(soak: Soak) -> list[str]:
    """Return downloads that look whole and are not."""
    return [
        f"download {download.identity}: {download.received} of {len(BODY)} bytes look whole"
        for download in soak.downloads
        if download.looks_whole and not download.is_whole
    ]


async def _download(soak: Soak, daemon: int, identity: str) -> Download:
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    received = bytearray()
    is_orderly = True
    request = (
        f"GET {FILE_PREFIX}{identity} HTTP/1.1\r\nHost: sales.example\r\n"
        f"Request-Id: {identity}\r\nDeadline-Ms: {DEADLINE_MS}\r\nApi-Key: key-plain\r\n\r\n"
    )
    try:
        address = (soak.running.daemons[daemon].ip, OUTBOUND_PORT)
        async with asyncio.timeout(2 * DEADLINE_MS / 1000):
            await loop.sock_connect(connection, address)
            await loop.sock_sendall(connection, request.encode())
            while data := await loop.sock_recv(connection, READ_BYTES):
                received += data
                if b"content-length:" in received[:1000]:
                    break
                await asyncio.sleep(READ_PAUSE_SECONDS)
    except (OSError, TimeoutError):
        is_orderly = False
    finally:
        connection.close()
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    is_success = head.startswith(b"HTTP/1.1 200") and b"content-length:" not in head
    return Download(identity, len(body), is_success and is_orderly, body == BODY)
