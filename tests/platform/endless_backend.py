"""Handlers of back ends that send bytes without end, until their caller closes the connection."""

import asyncio
import enum
from collections.abc import Iterator
from typing import Any

from aiohttp import web

from tests.platform.fake_backend import FakeBackend, Handler, echo

ENDLESS_PREFIX = "/look/endless-"
PIECE_BYTES = 64 << 10
MAX_UNSENT_BYTES = 1 << 20
DRIP_BYTES = 64
DRIP_SECONDS = 0.002
MAX_SECONDS = 20.0
"""Time after which a handler gives up, so that no test hangs."""


class Shape(enum.StrEnum):
    """Where the bytes go on."""

    STATUS_LINE = "status-line"
    HEADER_NAME = "header-name"
    HEADER_VALUE = "header-value"
    HEADERS = "headers"
    INTERIM = "interim"
    LENGTH = "length"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small-chunks"
    CONNECTION_END = "connection-end"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILER = "trailer"
    TRAILERS = "trailers"
    AFTER_ANSWER = "after-answer"


def parts_of(shape: Shape, identity: str) -> tuple[bytes, bytes]:
    """Return the bytes that begin an answer of ``shape``, and those that are repeated."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {identity}\r\nServer-Seal: s\r\n".encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        Shape.STATUS_LINE: (b"HTTP/1.1 200 O", b"K"),
        Shape.HEADER_NAME: (head, b"x"),
        Shape.HEADER_VALUE: (head + b"X-Long: ", b"x"),
        Shape.HEADERS: (head, b"X-Some: value\r\n"),
        Shape.INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        Shape.LENGTH: (head + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
        Shape.CHUNKS: (chunked, b"400\r\n" + b"x" * 1024 + b"\r\n"),
        Shape.SMALL_CHUNKS: (chunked, b"1\r\nx\r\n"),
        Shape.CONNECTION_END: (head + b"\r\n", b"x"),
        Shape.CHUNK_EXTENSION: (chunked + b"1;a=", b"x"),
        Shape.TRAILER: (chunked + b"1\r\nx\r\n0\r\nX-Long: ", b"x"),
        Shape.TRAILERS: (chunked + b"1\r\nx\r\n0\r\n", b"X-Some: value\r\n"),
        Shape.AFTER_ANSWER: (head + b"Content-Length: 2\r\n\r\nok", b"x"),
    }[shape]


async def send_without_end(transport: Any, shape: Shape, identity: str, *, drips: bool) -> None:
    """Write an answer of ``shape`` until the connection is closed."""
    loop = asyncio.get_running_loop()
    end = loop.time() + MAX_SECONDS
    begin, repeated = parts_of(shape, identity)
    transport.write(begin)
    for piece in pieces_of(repeated, DRIP_BYTES if drips else PIECE_BYTES):
        if transport.is_closing() or loop.time() > end:
            return
        if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            transport.write(piece)
        await asyncio.sleep(DRIP_SECONDS if drips else 0)


def pieces_of(repeated: bytes, size: int) -> Iterator[bytes]:
    """Yield ``repeated`` over and over, in pieces of about ``size`` bytes."""
    piece = repeated * max(1, size // len(repeated))
    while True:
        yield piece


def endless(*, drips: bool = False) -> Handler:
    """Return a handler that answers paths with a shape without end, and others like ``echo``."""

    async def handle(backend: FakeBackend, request: web.Request) -> web.Response:
        if not request.path.startswith(ENDLESS_PREFIX):
            return await echo(backend, request)
        shape = Shape(request.path.removeprefix(ENDLESS_PREFIX))
        identity = request.headers["Request-Id"]
        await send_without_end(request.transport, shape, identity, drips=drips)
        raise ConnectionResetError

    return handle


def peak_memory_bytes(process: int) -> int:
    """Return the largest resident size that a process had."""
    with open(f"/proc/{process}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    raise ValueError(f"no peak of process {process}")
